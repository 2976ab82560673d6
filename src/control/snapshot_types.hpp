/// \file
/// Enumerations for snapshots and clones that the planner, edges and nodes share. Their values are
/// the ones on the wire.
#pragma once

#include <cstdint>

namespace knotvane::control {

/// An operation that an operator requests.
enum class SnapshotOperation : std::uint8_t {
    take = 0,    ///< take a snapshot of a volume
    drop = 1,    ///< delete a snapshot or a clone
    clone = 2,   ///< make a writable copy of a snapshot
    compare = 3, ///< list the ranges in which two volumes of the same origin differ
};

/// A step of a snapshot or clone that an edge or a node reports.
enum class SnapshotStep : std::uint8_t {
    holding = 0,      ///< edge: it delays new writes of the volume
    resumed = 1,      ///< edge: it issues writes again, in the new epoch
    drained = 2,      ///< edge: all its writes of earlier epochs have completed
    hold_expired = 3, ///< edge: the hold took too long; it issues writes again, in the old epoch
    opened = 4,       ///< node: the snapshot exists; late writes may still be added to it
    sealed = 5,       ///< node: the snapshot is complete and durable
    dropped = 6,      ///< node: it stores nothing of the snapshot or clone any more
    cloned = 7,       ///< node: the clone exists
};

/// The result of a node's step.
enum class SnapshotResult : std::uint8_t {
    done = 0,
    already_done = 1, ///< the request was a repeat
    id_taken = 2,     ///< the id belongs to another volume, snapshot or clone
    no_space = 3,     ///< too little free space in the node's store
    failed = 4,       ///< the storage medium failed, or the node does not know what is asked for
};

} // namespace knotvane::control
