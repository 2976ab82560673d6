/// \file
/// Clients' requests and how they end.
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
    /// A scheduled request of it was answered well.
    bool has_executed_part = false;
    /// Scheduled requests that have not ended.
    std::set<RequestId> pending;
    /// Of a flush: which writes it covers.
    std::uint64_t flush_mark = 0;
    /// Of a change that has begun, and the volume and epoch that it belongs to.
    bool change_started = false;
    VolumeId volume;
    std::uint32_t epoch = 0;
};

/// All client requests that have not been answered.
class RequestTable {
public:
    /// @param state must outlive this.
    explicit RequestTable(EdgeState &state) : state_(state) {}

    ClientRequestId open(ClientSession &session, nbd::Cookie cookie, Command command,
                         std::size_t buffered_bytes);
    bool contains(ClientRequestId id) const { return requests_.contains(id); }
    /// @throw std::out_of_range if there is no such request.
    ClientRequest &at(ClientRequestId id) { return requests_.at(id); }
    /// @return null if there is no such request.
    ClientRequest *find(ClientRequestId id);

    /// The request has its answer or its client is gone.
    void close(ClientRequestId id);
    /// Answers with an error, unless the request has ended; withdraws its scheduled requests.
    /// @param offset where it went wrong; none if nowhere in particular.
    void fail(ClientRequestId id, nbd::ErrorCode error, std::string_view message,
              std::optional<std::uint64_t> offset);
    /// Nothing more is waited for.
    void end_scheduled(RequestId id);
    /// The client has left.
    void withdraw_all(ClientSession &session);

private:
    EdgeState &state_;
    std::uint64_t last_id_ = 0;
    std::map<ClientRequestId, ClientRequest> requests_;
};

} // namespace knotvane::edge
