// Interface that each fuzz target implements for fuzz_main.cpp.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::fuzz {

/// Returns the seed inputs, which random inputs are mutated from.
std::vector<std::string> seedInputs();

/// Runs one input. Aborts if a property of the code under test doesn't hold.
void runInput(std::string_view input);

} // namespace amaranthdale::fuzz
