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

/// A write of data, or of zeroes.
struct Change {
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    /// Only for a write of data; valid during the call.
    std::string_view data;
    /// Whether the range is set to zeroes instead of data.
    bool zeroes = false;
    /// Force unit access: the change must be durable before it is answered.
    bool fua = false;
};

/// Opens a client request for each call and passes its parts to the scheduler: one part for each
/// extent of a read, each span of a change and each shard of a flush.
class RequestSplitter {
public:
    /// @param state and requests must outlive this.
    RequestSplitter(EdgeState &state, RequestTable &requests)
        : state_(state), requests_(requests) {}

    void read(ClientSession &session, nbd::Cookie cookie, std::uint64_t offset,
              std::uint32_t length);
    /// Starts a change, or holds it back while a snapshot holds the volume.
    void change(ClientSession &session, nbd::Cookie cookie, const Change &change);
    void flush(ClientSession &session, nbd::Cookie cookie);
    void block_status(ClientSession &session, nbd::Cookie cookie, std::uint64_t offset,
                      std::uint32_t length);

    /// Starts the held changes of volumes whose hold has ended, in the order of arrival.
    void start_released_changes();

private:
    /// A change that was received while a snapshot held its volume.
    struct HeldChange {
        ClientRequestId request;
        Change change;
        std::string data; // owns what change.data refers to
        Time received_at;
    };

    void start_change(ClientRequestId id, ClientSession &session, const Change &change,
                      Time received_at);
    double units_of(OpenVolume &volume, const Change &change, std::uint64_t offset,
                    std::uint32_t length);
    /// Passes one part to the scheduler, or fails the client request if no workload rule matches.
    void schedule(ClientRequestId id, std::shared_ptr<NodeRequest> node_request, KeyId key,
                  Time received_at);
    const WorkloadRule *find_workload(Command command, const NodeRequest &node_request) const;

    EdgeState &state_;
    RequestTable &requests_;
    std::map<VolumeId, std::deque<HeldChange>> held_changes_;
};

} // namespace knotvane::edge
