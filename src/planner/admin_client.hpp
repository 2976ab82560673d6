/// \file
/// A blocking client of the planner for operators. Each request uses its own connection.
#pragma once

#include <string>
#include <utility>

#include "common/time.hpp"
#include "control/messages.hpp"

namespace knotvane::planner {

/// Sends requests to one planner. Each call blocks until the answer arrives. It throws
/// std::runtime_error with a one-line message if no answer arrives in time or the peer is not a
/// planner; the request may have been carried out even then.
class AdminClient {
public:
    /// \param address  the planner's, as host:port
    /// \param timeout  for the answer to each request
    AdminClient(std::string address, Time timeout)
        : address_(std::move(address)), timeout_(timeout) {}

    /// Returns the status of the planner, its nodes and edges as JSON (planner/status_report.hpp).
    std::string status() const;
    control::OperationResult drain(const control::DrainRequest &request) const;
    control::OperationResult snapshot(const control::SnapshotRequest &request) const;

private:
    std::string address_;
    Time timeout_;
};

} // namespace knotvane::planner
