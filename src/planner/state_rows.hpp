/// \file
/// Encodes and decodes the bodies of the store's rows. Entries of the cluster state are stored as
/// encoded messages.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "control/cluster_state.hpp"
#include "planner/desired_state.hpp"
#include "planner/quota_allocation.hpp"

namespace knotvane::planner {

/// The content of a quota share's row.
struct QuotaShareRow {
    QuotaAllocation::Holding holding;
    bool edge_lapsed = false;
};

std::string encode_row(const QuotaShareRow &row);
std::string encode_row(NodeId id, const DesiredState::Node &node);

/// These decode a row's body. \throws control::ProtocolError if it is malformed.
QuotaShareRow decode_quota_share_row(std::string_view body);
std::uint32_t decode_epoch_row(std::string_view body);
control::Plan decode_plan_row(std::string_view body);
control::Volume decode_volume_row(std::string_view body);
control::Node decode_node_row(std::string_view body);
DesiredState::Node decode_desired_node_row(std::string_view body);

} // namespace knotvane::planner
