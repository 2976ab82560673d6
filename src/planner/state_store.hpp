/// \file
/// The interface to the planner's durable state.
#pragma once

#include <cstdint>
#include <string>

#include "control/ids.hpp"

namespace knotvane::planner {

using control::Term;
using control::Version;

/// The planner's term, versions and lineage, stored beside the rows.
struct StorePosition {
    Term term;                 ///< of the last planner that committed; 0 if none ever did
    std::uint64_t lineage = 0; ///< of the store; versions of different lineages are unrelated
    Version version;           ///< of the cluster state
    Version oldest_version;    ///< changes since this one can be sent
    std::uint64_t settings_version = 0; ///< of the settings that are in use
};

/// Stores rows. Changes are buffered until `commit`, which makes all or none of them durable.
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
    virtual void put(Row row, std::uint64_t first_id, std::uint64_t second_id, Version stamp,
                     std::string body) = 0;
    virtual void erase(Row row, std::uint64_t first_id, std::uint64_t second_id) = 0;

    /// \return false on failure; the changes stay buffered for another attempt
    virtual bool commit(const StorePosition &position) = 0;
};

} // namespace knotvane::planner
