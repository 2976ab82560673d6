/// \file
/// An operator's client of a planner: one request over a connection of its own, waited for.
#pragma once

#include <string>
#include <utility>

#include "common/time.hpp"
#include "control/messages.hpp"

namespace knotvane::planner {

/// Sends requests to one planner. Each call blocks for an answer and throws std::runtime_error, in
/// one line, where none comes in time or what answers is no planner; then the request may have
/// been carried out all the same.
class AdminClient {
public:
    /// \param address  of the planner, host:port
    /// \param timeout  for each request
    AdminClient(std::string address, Time timeout)
        : address_(std::move(address)), timeout_(timeout) {}

    /// The planner's and its edges' state, as JSON.
    std::string status() const;
    control::OperationResult drain(const control::DrainRequest &request) const;
    control::OperationResult snapshot(const control::SnapshotRequest &request) const;

private:
    std::string address_;
    Time timeout_;
};

} // namespace knotvane::planner
