// Source of random numbers that is passed in, so that a seed reproduces a run.
#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace amaranthdale::decisions {

/// Boost's generators and distributions give the same numbers with every standard library.
using RandomSource = boost::random::mt19937_64;

/// A number from 0 to `bound` - 1; `bound` is at least 1.
std::uint64_t randomBelow(RandomSource &random, std::uint64_t bound);

} // namespace amaranthdale::decisions
