#include <cmath>

#include <doctest/doctest.h>

#include "scheduler_setup/input_validation.hpp"

using namespace knotvane;
using scheduler_setup::MalformedInput;
using scheduler_setup::time_from_seconds;

TEST_CASE("seconds are converted exactly to the microsecond, and NaN is refused") {
    CHECK(time_from_seconds(9.563867, "t") == 9'563'867 * us);
    CHECK_THROWS_AS(time_from_seconds(std::nan(""), "t"), MalformedInput);
}
