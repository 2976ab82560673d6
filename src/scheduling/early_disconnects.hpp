/// \file
/// How long clients wait before they disconnect.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// While many clients disconnect early, requests are given up by when clients go. Guards against
/// serving just those whose client is about to go.
///
/// Disconnects of one volume's clients count for that volume alone, those of four or more volumes
/// of all: a client that hangs up again and again must not shorten the wait of everybody.
/// Disconnects count only while fewer clients were answered after a longer wait: guards against
/// clients that leave right after they asked, whatever is done for them.
class EarlyDisconnects {
public:
    void client_disconnected(Time now, VolumeId volume, Time waited);

    void client_answered(VolumeId volume, Time waited) { answered_.add({volume, waited}); }

    /// @return whether there may be any volume with a limit.
    bool many_recent(Time now) const;

    /// @return how long the volume's clients wait now: the quick quarter of those that disconnected
    ///     early; unlimited_wait if that isn't known.
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
