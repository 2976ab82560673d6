/// \file
/// Enumerations of snapshots and clones that planner, edges and nodes share. The values are those
/// on the wire.
#pragma once

#include <cstdint>

namespace knotvane::control {

/// What an operator asks for.
enum class SnapshotOperation : std::uint8_t {
    take = 0,    ///< a snapshot of a volume
    drop = 1,    ///< a snapshot or a clone
    clone = 2,   ///< a writable copy of a snapshot
    compare = 3, ///< the ranges in which two volumes of one origin differ
};

/// A step that an edge or a node has done.
enum class SnapshotStep : std::uint8_t {
    ready = 0,   ///< edge: holds back new writes of the volume
    moved = 1,   ///< edge: goes on in the new epoch
    drained = 2, ///< edge: all writes of the epochs before have ended
    lapsed = 3,  ///< edge: held back for too long and went on by itself, in the old epoch
    opened = 4,  ///< node: the snapshot is there; late writes may still come in
    sealed = 5,  ///< node: the snapshot is whole and durable
    dropped = 6, ///< node: nothing is left of the snapshot or clone
    cloned = 7,  ///< node: the clone is there
};

/// How a node's step went.
enum class SnapshotResult : std::uint8_t {
    done = 0,
    exists = 1, ///< it was done before: a repeated order
    taken = 2,  ///< the id belongs to something else
    full = 3,   ///< too little of the store is free
    failed = 4, ///< the medium failed, or the node knows nothing of what is asked
};

} // namespace knotvane::control
