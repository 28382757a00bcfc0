// Main program of all fuzz targets. Usage: fuzz_NAME FILE... | fuzz_NAME --runs N --seed S
#include "fuzz_main.h"

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace {

using Random = std::mt19937_64;

constexpr std::size_t mostChanges = 8;

std::size_t below(Random &random, std::size_t bound)
{
    return static_cast<std::size_t>(random() % bound);
}

void changeOnce(std::string &text, Random &random)
{
    const std::size_t at = below(random, text.size() + 1);
    const auto byte = static_cast<char>(random());
    switch (below(random, 5)) {
    case 0:
        text.insert(at, 1, byte);
        break;
    case 1:
        text.erase(at, below(random, 4));
        break;
    case 2:
        text.insert(at, text.substr(below(random, text.size() + 1), below(random, 40)));
        break;
    case 3:
        text.resize(at);
        break;
    default:
        if (at < text.size())
            text[at] = byte;
    }
}

std::string makeInput(const std::vector<std::string> &samples, Random &random)
{
    std::string text = samples[below(random, samples.size())];
    for (std::size_t left = below(random, mostChanges + 1); left > 0; --left)
        changeOnce(text, random);
    return text;
}

int replayFiles(int count, char **names)
{
    for (int i = 0; i < count; ++i) {
        std::ifstream file(names[i], std::ios::binary);
        if (!file) {
            std::cerr << "can't read " << names[i] << "; give the name of an input file\n";
            return EXIT_FAILURE;
        }
        amaranthdale::fuzz::runInput(std::string(std::istreambuf_iterator<char>(file), {}));
    }
    return EXIT_SUCCESS;
}

void runRandom(std::uint64_t runs, std::uint64_t seed)
{
    Random random(seed);
    const auto samples = amaranthdale::fuzz::samples();
    for (std::uint64_t run = 0; run < runs; ++run)
        amaranthdale::fuzz::runInput(makeInput(samples, random));
    std::cout << runs << " inputs with seed " << seed << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int seededArguments = 5;
    if (argc == seededArguments && argv[1] == std::string_view("--runs")
        && argv[3] == std::string_view("--seed")) {
        runRandom(std::strtoull(argv[2], nullptr, 10), std::strtoull(argv[4], nullptr, 10));
        return EXIT_SUCCESS;
    }
    if (argc < 2) {
        std::cerr << "usage: " << argv[0] << " FILE... | --runs N --seed S\n";
        return EXIT_FAILURE;
    }
    return replayFiles(argc - 1, argv + 1);
}
