/// \file
/// What the platform's hosts offer at least.
#pragma once

#include <cstddef>

namespace knotvane::http_gateway {

/// The memory limit of a process on the smallest host, in bytes.
inline constexpr std::size_t smallest_host_memory = 32'000'000;

} // namespace knotvane::http_gateway
