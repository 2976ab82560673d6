#include "edge/request_splitter.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::edge {

using node_protocol::FrameKind;

void RequestSplitter::read(ClientSession &session, nbd::Cookie cookie, std::uint64_t offset,
                           std::uint32_t length) {
    if (session.fail_if_dropped(cookie))
        return;
    const auto &volume = *session.volume();
    auto id = requests_.open(session, cookie, Command::read, length);
    while (length > 0 && requests_.contains(id)) {
        auto part = state_.layout.split_length(offset, length, false);
        auto request = std::make_shared<NodeRequest>();
        request->kind = FrameKind::read;
        request->volume = volume.id;
        request->shard = state_.layout.shard_of(volume.layout_volume, offset);
        request->offset = offset;
        request->length = part;
        request->units = state_.units(part);
        schedule(id, std::move(request), state_.layout.key_of(volume.id, offset), state_.clock.now);
        offset += part;
        length -= part;
    }
}

void RequestSplitter::change(ClientSession &session, nbd::Cookie cookie, const Change &change) {
    if (session.fail_if_dropped(cookie))
        return;
    auto command = change.zeroes ? Command::zero : Command::write;
    auto id = requests_.open(session, cookie, command, change.data.size());
    auto volume = session.volume()->id;
    if (state_.snapshots.is_holding(volume))
        held_changes_[volume].push_back({id, change, std::string(change.data), state_.clock.now});
    else
        start_change(id, session, change, state_.clock.now);
}

void RequestSplitter::start_released_changes() {
    for (auto volume : state_.snapshots.take_released()) {
        if (state_.snapshots.is_holding(volume))
            continue;
        auto it = held_changes_.find(volume);
        if (it == held_changes_.end())
            continue;
        auto held_changes = std::move(it->second);
        held_changes_.erase(it);
        for (auto &held : held_changes) {
            auto *request = requests_.find(held.request);
            if (!request)
                continue; // its client has disconnected
            held.change.data = held.data;
            start_change(held.request, *request->session, held.change, held.received_at);
        }
    }
}

void RequestSplitter::start_change(ClientRequestId id, ClientSession &session, const Change &change,
                                   Time received_at) {
    auto &volume = *session.volume();
    auto epoch = state_.snapshots.change_started(volume.id);
    auto &client_request = requests_.at(id);
    client_request.change_started = true;
    client_request.epoch = epoch;
    client_request.volume = volume.id;
    if (volume.written_epoch != epoch) {
        volume.written_spans.clear();
        volume.written_epoch = epoch;
    }

    auto offset = change.offset;
    auto remaining = change.length;
    auto data = change.data;
    while (remaining > 0 && requests_.contains(id)) {
        auto part = state_.layout.split_length(offset, remaining, true);
        auto request = std::make_shared<NodeRequest>();
        request->kind = change.zeroes ? FrameKind::zero : FrameKind::write;
        request->volume = volume.id;
        request->shard = state_.layout.shard_of(volume.layout_volume, offset);
        request->offset = offset;
        request->length = part;
        request->units = units_of(volume, change, offset, part);
        request->durable = change.fua;
        request->epoch = epoch;
        if (!change.zeroes) {
            request->payload = data.substr(0, part);
            data.remove_prefix(part);
        }
        schedule(id, std::move(request), state_.layout.key_of(volume.id, offset), received_at);
        offset += part;
        remaining -= part;
    }
}

double RequestSplitter::units_of(OpenVolume &volume, const Change &change, std::uint64_t offset,
                                 std::uint32_t length) {
    // Writing zeroes costs a node little, whatever their length.
    double units = change.zeroes ? 1 : state_.units(length);
    bool has_shared_blocks = volume.written_epoch > 0 || volume.is_snapshot;
    if (state_.copy_on_write_units > 0 && has_shared_blocks &&
        volume.note_write(state_.layout.span_of(offset)))
        units += state_.copy_on_write_units;
    return units;
}

void RequestSplitter::flush(ClientSession &session, nbd::Cookie cookie) {
    if (session.fail_if_dropped(cookie))
        return;
    const auto &volume = *session.volume();
    auto id = requests_.open(session, cookie, Command::flush, 0);
    requests_.at(id).flush_mark = volume.unflushed.flush_mark();
    auto shards = volume.unflushed.shards_to_flush();
    if (shards.empty()) {
        requests_.close(id);
        return session.reply_flushed(cookie);
    }
    for (auto shard : shards) {
        if (!requests_.contains(id))
            return;
        auto request = std::make_shared<NodeRequest>();
        request->kind = FrameKind::flush;
        request->volume = volume.id;
        request->shard = shard;
        schedule(id, std::move(request), no_key, state_.clock.now);
    }
}

void RequestSplitter::block_status(ClientSession &session, nbd::Cookie cookie, std::uint64_t offset,
                                   std::uint32_t length) {
    if (session.fail_if_dropped(cookie))
        return;
    const auto &volume = *session.volume();
    auto id = requests_.open(session, cookie, Command::status, 0);
    auto request = std::make_shared<NodeRequest>();
    request->kind = FrameKind::block_status;
    request->volume = volume.id;
    request->shard = state_.layout.shard_of(volume.layout_volume, offset);
    request->offset = offset;
    // NBD allows an answer that covers less than the requested range, so only the first extent is
    // requested from its shard.
    request->length = state_.layout.split_length(offset, length, false);
    schedule(id, std::move(request), no_key, state_.clock.now);
}

void RequestSplitter::schedule(ClientRequestId id, std::shared_ptr<NodeRequest> node_request,
                               KeyId key, Time received_at) {
    auto &client_request = requests_.at(id);
    const auto &volume = *client_request.session->volume();
    const auto *workload = find_workload(client_request.command, *node_request);
    if (!workload) // can't happen with valid settings: they hold a workload for each request
        return requests_.fail(id, nbd::e_io, "errored: no workload is for this request",
                              node_request->offset);
    bool writes = is_change(client_request.command);
    node_request->deduplicated = writes && workload->deduplication_window > 0;
    node_request->on_snapshot = volume.is_snapshot;

    RequestInfo info;
    info.workload = workload->workload;
    info.volume = volume.quota_volume;
    info.plan = volume.plan;
    info.shard = node_request->shard;
    info.key = key;
    info.units = node_request->units;
    info.sharers = volume.sharers;
    info.writes = writes;
    info.client_timeout = received_at + workload->client_timeout;
    info.id = state_.scheduled.add(
        {id, std::move(node_request), info.client_timeout, workload->deduplication_window});
    client_request.pending.insert(info.id);
    state_.scheduler.notify().request_received(state_.clock.now, info);
}

const WorkloadRule *RequestSplitter::find_workload(Command command,
                                                   const NodeRequest &node_request) const {
    for (const auto &rule : state_.workloads)
        if (rule.command == command && node_request.length <= rule.max_bytes &&
            (rule.volume.empty() || state_.volumes.is_named(node_request.volume, rule.volume)))
            return &rule;
    return nullptr;
}

} // namespace knotvane::edge
