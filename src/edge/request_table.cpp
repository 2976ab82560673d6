#include "edge/request_table.hpp"

#include <utility>

namespace knotvane::edge {

ClientRequestId RequestTable::open(ClientSession &session, nbd::Cookie cookie, Command command,
                                   std::size_t buffered_bytes) {
    ClientRequestId id{++last_id_};
    auto &request = requests_[id];
    request.session = &session;
    request.cookie = cookie;
    request.command = command;
    request.buffered_bytes = buffered_bytes;
    session.requests().insert(id);
    state_.admission.add_bytes(buffered_bytes);
    return id;
}

ClientRequest *RequestTable::find(ClientRequestId id) {
    auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::close(ClientRequestId id) {
    auto it = requests_.find(id);
    const auto &request = it->second;
    state_.admission.remove_bytes(request.buffered_bytes);
    if (request.change_started)
        state_.snapshots.change_ended(request.volume, request.epoch);
    request.session->requests().erase(id);
    state_.clients_to_flush.insert(request.session->id());
    requests_.erase(it);
}

void RequestTable::fail(ClientRequestId id, nbd::ErrorCode error, std::string_view message,
                        std::optional<std::uint64_t> offset) {
    auto *request = find(id);
    if (!request)
        return;
    for (auto scheduled : std::set<RequestId>(request->pending)) {
        // The edge abandons these, not the client. If they counted as given up by the client, a few
        // large requests that fail would make the scheduler believe that all requests are late.
        state_.scheduler.notify().request_canceled(state_.clock.now, scheduled,
                                                   CancelReason::abandoned);
        end_scheduled(scheduled);
    }
    auto &session = *request->session;
    auto cookie = request->cookie;
    close(id);
    session.nbd().reply_error(cookie, error, message, offset);
}

void RequestTable::end_scheduled(RequestId id) {
    auto &scheduled = state_.scheduled.at(id);
    if (scheduled.ended)
        return;
    scheduled.ended = true;
    if (auto *request = find(scheduled.client_request))
        request->pending.erase(id);
    state_.scheduled.erase_if_done(id);
}

void RequestTable::withdraw_all(ClientSession &session) {
    // Only the oldest request is reported as canceled by a disconnect, as it shows how long the
    // client waited; the others count as abandoned. If each were reported so, the scheduler would
    // mistake one client program that exits for many clients that gave up.
    bool reported = false;
    for (auto id : std::set<ClientRequestId>(session.requests())) {
        for (auto scheduled : std::set<RequestId>(requests_.at(id).pending)) {
            auto reason = std::exchange(reported, true) ? CancelReason::abandoned
                                                        : CancelReason::client_disconnected;
            state_.scheduler.notify().request_canceled(state_.clock.now, scheduled, reason);
            end_scheduled(scheduled);
        }
        close(id);
    }
}

} // namespace knotvane::edge
