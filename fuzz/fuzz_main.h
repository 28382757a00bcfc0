// Interface between a fuzz target and its main program.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::fuzz {

/// Valid inputs, which random inputs are made from.
std::vector<std::string> samples();

/// Runs one input. Aborts when a property of the code under test doesn't hold.
void runInput(std::string_view input);

} // namespace amaranthdale::fuzz
