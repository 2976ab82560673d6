/// \file
/// The planner's durable state, as its core sees it.
#pragma once

#include <cstdint>
#include <string>

#include "control/ids.hpp"

namespace knotvane::planner {

using control::Term;
using control::Version;

/// Where a planner stands, beside its rows.
struct StorePosition {
    Term term;                          ///< of the last planner that wrote; 0: none ever did
    std::uint64_t lineage = 0;          ///< of the store; versions of another can't be compared
    Version version;                    ///< of the cluster state
    Version oldest_version;             ///< changes since this one can be sent
    std::uint64_t settings_version = 0; ///< of the settings that are in use
};

/// Keeps rows. Changes gather until `commit`, which makes all of them durable or none.
class StateStore {
public:
    /// Kinds of rows, with what their two ids and their body hold. The values are stored.
    enum class Row : std::uint8_t {
        plan = 0,         ///< plan, 0: an encoded PlanUpdate
        volume = 1,       ///< volume, 0: an encoded VolumeUpdate
        node = 2,         ///< node, 0: an encoded NodeUpdate
        quota_share = 3,  ///< edge, volume: share, bound, since, serves, lapsed
        drained_node = 4, ///< node, 0: drained by an operator; no body
        desired_node = 5, ///< node, 0: an encoded NodeHello; its incarnation is 1 if the
                          ///< settings drain the node
        incomplete = 6,   ///< snapshot or clone, its source: not complete, or to be dropped
                          ///< at nodes; the body is the epoch, 0 for none
    };

    virtual ~StateStore() = default;
    virtual void keep(Row row, std::uint64_t first_id, std::uint64_t second_id, Version stamp,
                      std::string body) = 0;
    virtual void drop(Row row, std::uint64_t first_id, std::uint64_t second_id) = 0;

    /// \return false where it could not; the changes stay gathered for another attempt
    virtual bool commit(const StorePosition &position) = 0;
};

} // namespace knotvane::planner
