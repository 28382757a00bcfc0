// Random number source, passed in by the caller so that a seed reproduces a run.
#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace amaranthdale::decisions {

/// Boost's generators and distributions produce the same numbers with every standard library.
using RandomSource = boost::random::mt19937_64;

/// Uniformly distributed integer in [0, bound); `bound` is at least 1.
std::uint64_t randomBelow(RandomSource &random, std::uint64_t bound);

} // namespace amaranthdale::decisions
