/// \file
/// Clients' requests, from their arrival to their answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "common/ids.hpp"
#include "edge/client_session.hpp"
#include "edge/edge_state.hpp"
#include "edge/ids.hpp"
#include "nbd/wire.hpp"

namespace knotvane::edge {

/// A client's request that has not been answered.
struct ClientRequest {
    ClientSession *session = nullptr; // outlives the request
    nbd::Cookie cookie;
    Command command = Command::read;
    /// Counted by admission control.
    std::size_t buffered_bytes = 0;
    /// Whether one of its scheduled requests was answered with success.
    bool has_executed_part = false;
    /// Scheduled requests that have not ended.
    std::set<RequestId> pending;
    /// Only for a flush: the mark of the writes that it covers, see UnflushedWrites.
    std::uint64_t flush_mark = 0;
    /// Whether this is a change that has begun; if so, its volume and epoch follow.
    bool change_started = false;
    VolumeId volume;
    std::uint32_t epoch = 0;
};

/// All client requests that have not been answered.
class RequestTable {
public:
    /// @param state must outlive this.
    explicit RequestTable(EdgeState &state) : state_(state) {}

    /// Adds a request.
    /// @param buffered_bytes that admission control counts until the request is closed.
    ClientRequestId open(ClientSession &session, nbd::Cookie cookie, Command command,
                         std::size_t buffered_bytes);
    bool contains(ClientRequestId id) const { return requests_.contains(id); }
    /// @throw std::out_of_range if there is no such request.
    ClientRequest &at(ClientRequestId id) { return requests_.at(id); }
    /// @return null if there is no such request.
    ClientRequest *find(ClientRequestId id);

    /// Removes a request that was answered or whose client has disconnected.
    void close(ClientRequestId id);
    /// Answers with an error, unless the request has ended; withdraws its scheduled requests.
    /// @param offset of the part that failed; none if the error concerns no particular part.
    void fail(ClientRequestId id, nbd::ErrorCode error, std::string_view message,
              std::optional<std::uint64_t> offset);
    /// Marks a scheduled request as ended: its result is no longer awaited.
    void end_scheduled(RequestId id);
    /// Withdraws all requests of a client that has disconnected.
    void withdraw_all(ClientSession &session);

private:
    EdgeState &state_;
    std::uint64_t last_id_ = 0;
    std::map<ClientRequestId, ClientRequest> requests_;
};

} // namespace knotvane::edge
