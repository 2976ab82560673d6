/// \file
/// Splits clients' requests into scheduled requests.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "edge/client_session.hpp"
#include "edge/edge_state.hpp"
#include "edge/node_request.hpp"
#include "edge/request_table.hpp"

namespace knotvane::edge {

/// A write, or zeroes.
struct Change {
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    /// Of a write; valid during the call.
    std::string_view data;
    bool zeroes = false;
    /// The answer means that the change is durable.
    bool fua = false;
};

/// Opens a client request for each call and hands its parts to the scheduler: one for each extent
/// of a read, each span of a change, each shard of a flush.
class RequestSplitter {
public:
    /// @param state and requests must outlive this.
    RequestSplitter(EdgeState &state, RequestTable &requests)
        : state_(state), requests_(requests) {}

    void read(ClientSession &session, nbd::Cookie cookie, std::uint64_t offset,
              std::uint32_t length);
    /// Held back while a snapshot holds the volume.
    void change(ClientSession &session, nbd::Cookie cookie, const Change &change);
    void flush(ClientSession &session, nbd::Cookie cookie);
    void block_status(ClientSession &session, nbd::Cookie cookie, std::uint64_t offset,
                      std::uint32_t length);

    /// Starts the changes of volumes whose hold has ended, in the order in which they came.
    void start_released_changes();

private:
    /// A change that came while its volume was held.
    struct HeldChange {
        ClientRequestId request;
        Change change;
        std::string data; // that change.data refers to
        Time received_at;
    };

    void start_change(ClientRequestId id, ClientSession &session, const Change &change,
                      Time received_at);
    double units_of(OpenVolume &volume, const Change &change, std::uint64_t offset,
                    std::uint32_t length);
    /// Hands one part to the scheduler, or fails the client request if no workload fits.
    void schedule(ClientRequestId id, std::shared_ptr<NodeRequest> node_request, KeyId key,
                  Time received_at);
    const WorkloadRule *find_workload(Command command, const NodeRequest &node_request) const;

    EdgeState &state_;
    RequestTable &requests_;
    std::map<VolumeId, std::deque<HeldChange>> held_changes_;
};

} // namespace knotvane::edge
