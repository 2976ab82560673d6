/// \file
/// How long clients wait for an answer before they disconnect.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// Estimates, while many clients disconnect before they are answered, how long clients wait.
/// Requests that can't be answered within that time are given up. Without the limit, a scheduler
/// that serves requests in turn would mostly serve those whose client is about to disconnect.
///
/// Disconnects of one volume's clients limit the wait of that volume only, so that a client that
/// disconnects again and again doesn't shorten the wait of all. Disconnects of four or more volumes
/// limit the wait of all volumes. There is no limit while at least as many clients were answered
/// after a longer wait: some clients disconnect right after their request, whatever is done for
/// them.
class EarlyDisconnects {
public:
    /// A client disconnected before its request was answered.
    /// @param waited time since the request was received.
    void client_disconnected(Time now, VolumeId volume, Time waited);

    /// A client got its answer.
    /// @param waited time since the request was received.
    void client_answered(VolumeId volume, Time waited) { answered_.add({volume, waited}); }

    /// @return whether there were enough recent disconnects to limit the wait of any volume.
    bool many_recent(Time now) const;

    /// @return how long the volume's clients wait now: the first quartile of the waits of those
    ///     that disconnected early; unlimited_wait if there is no limit.
    Time wait_limit(VolumeId volume, Time now) const;

private:
    struct Disconnect {
        Time at;
        VolumeId volume;
        Time waited;
    };

    struct Answer {
        VolumeId volume;
        Time waited;
    };

    RecentSamples<Disconnect, 32> disconnects_;
    RecentSamples<Answer, 64> answered_;
};

} // namespace knotvane::scheduling
