// Entry point of all fuzz targets. Usage: fuzz_NAME FILE... | fuzz_NAME --runs N --seed S
#include "fuzz_main.h"

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace {

using Random = std::mt19937_64;

constexpr std::size_t maxMutations = 8;

std::size_t randomBelow(Random &random, std::size_t bound)
{
    return static_cast<std::size_t>(random() % bound);
}

void mutateOnce(std::string &text, Random &random)
{
    const std::size_t position = randomBelow(random, text.size() + 1);
    const auto byte = static_cast<char>(random());
    switch (randomBelow(random, 5)) {
    case 0:
        text.insert(position, 1, byte);
        break;
    case 1:
        text.erase(position, randomBelow(random, 4));
        break;
    case 2:
        text.insert(position,
                    text.substr(randomBelow(random, text.size() + 1), randomBelow(random, 40)));
        break;
    case 3:
        text.resize(position);
        break;
    default:
        if (position < text.size())
            text[position] = byte;
    }
}

std::string makeMutatedInput(const std::vector<std::string> &seedInputs, Random &random)
{
    std::string text = seedInputs[randomBelow(random, seedInputs.size())];
    for (std::size_t mutationsLeft = randomBelow(random, maxMutations + 1); mutationsLeft > 0;
         --mutationsLeft)
        mutateOnce(text, random);
    return text;
}

int replayFiles(int count, char **names)
{
    for (int i = 0; i < count; ++i) {
        std::ifstream file(names[i], std::ios::binary);
        if (!file) {
            std::cerr << "can't open input file " << names[i]
                      << "; give the path of a readable file\n";
            return EXIT_FAILURE;
        }
        amaranthdale::fuzz::runInput(std::string(std::istreambuf_iterator<char>(file), {}));
    }
    return EXIT_SUCCESS;
}

void runRandom(std::uint64_t runs, std::uint64_t seed)
{
    Random random(seed);
    const auto seedInputs = amaranthdale::fuzz::seedInputs();
    for (std::uint64_t run = 0; run < runs; ++run)
        amaranthdale::fuzz::runInput(makeMutatedInput(seedInputs, random));
    std::cout << runs << " inputs with seed " << seed << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int seededArgumentCount = 5;
    if (argc == seededArgumentCount && argv[1] == std::string_view("--runs")
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
