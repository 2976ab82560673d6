#include "edge/client_session.hpp"

#include <algorithm>
#include <utility>

#include "edge/request_splitter.hpp"
#include "nbd/wire.hpp"

namespace knotvane::edge {
namespace {

/// Reading from a client is paused while more than this many bytes of answers are unsent. This is
/// enough to keep any socket busy.
constexpr std::size_t max_unsent_bytes = 1 << 20;

} // namespace

ClientSession::ClientSession(ClientId id, EdgeState &state, RequestSplitter &splitter)
    : id_(id), state_(state), splitter_(splitter),
      nbd_(*this, state.admission.limits().max_requests_per_client,
           state.admission.limits().max_request_bytes) {}

bool ClientSession::fail_if_dropped(nbd::Cookie request) {
    if (!volume_->dropped)
        return false;
    nbd_.reply_error(request, nbd::e_shutdown, "denied: the snapshot or clone was dropped");
    return true;
}

void ClientSession::reply_flushed(nbd::Cookie request) {
    auto losses = volume_->unflushed.losses();
    if (reported_losses_ == losses)
        return nbd_.reply_done(request);
    reported_losses_ = losses;
    nbd_.reply_error(request, nbd::e_io,
                     "errored: a node lost writes that were answered and not flushed");
}

void ClientSession::flush_output() {
    if (nbd_.pending_output_bytes() > 0) {
        auto output = nbd_.take_output();
        unsent_bytes_ += output.size();
        state_.admission.add_bytes(output.size());
        state_.shell.send_client(id_, std::move(output));
    }
    // A client that does not receive its answers must not send further requests.
    bool pause = nbd_.input_paused() || unsent_bytes_ > max_unsent_bytes;
    if (pause == reading_paused_)
        return;
    reading_paused_ = pause;
    state_.shell.pause_client(id_, pause);
}

void ClientSession::flush_last_output() {
    if (auto output = nbd_.take_output(); !output.empty())
        state_.shell.send_client(id_, std::move(output));
    state_.admission.remove_bytes(unsent_bytes_);
}

void ClientSession::output_sent(std::size_t bytes) {
    unsent_bytes_ -= std::min(bytes, unsent_bytes_);
    state_.admission.remove_bytes(bytes);
}

void ClientSession::pause_from_start() {
    nbd_.pause_input(true);
    reading_paused_ = true;
    state_.shell.pause_client(id_, true);
}

std::vector<std::string> ClientSession::export_names() {
    return state_.volumes.names();
}

std::optional<nbd::ExportInfo> ClientSession::find_export(std::string_view name) {
    auto volume = state_.volumes.find(name);
    if (!volume)
        return std::nullopt;
    return state_.volumes.export_info(*volume, state_.admission.limits().max_request_bytes);
}

void ClientSession::export_opened(std::string_view name) {
    volume_ = &state_.volumes.open(*state_.volumes.find(name));
    reported_losses_ = volume_->unflushed.losses();
}

void ClientSession::read(nbd::Cookie request, std::uint64_t offset, std::uint32_t length) {
    splitter_.read(*this, request, offset, length);
}

void ClientSession::write(nbd::Cookie request, std::uint64_t offset, std::string_view data,
                          bool fua) {
    splitter_.change(*this, request,
                     {offset, static_cast<std::uint32_t>(data.size()), data, false, fua});
}

void ClientSession::write_zeroes(nbd::Cookie request, std::uint64_t offset, std::uint32_t length,
                                 bool fua, bool no_hole) {
    if (!no_hole || length > state_.admission.limits().max_request_bytes)
        return splitter_.change(*this, request, {offset, length, {}, true, fua});
    // Writes actual zero bytes, so that the space stays allocated.
    std::string zeroes(length, '\0');
    splitter_.change(*this, request, {offset, length, zeroes, false, fua});
}

void ClientSession::trim(nbd::Cookie request, std::uint64_t offset, std::uint32_t length,
                         bool fua) {
    splitter_.change(*this, request, {offset, length, {}, true, fua});
}

void ClientSession::flush(nbd::Cookie request) {
    splitter_.flush(*this, request);
}

void ClientSession::cache(nbd::Cookie request, std::uint64_t, std::uint32_t) {
    nbd_.reply_done(request); // the command is only a hint, so nothing is done
}

void ClientSession::block_status(nbd::Cookie request, std::uint64_t offset, std::uint32_t length) {
    splitter_.block_status(*this, request, offset, length);
}

void ClientSession::session_ended(std::string_view fault) {
    if (!fault.empty())
        state_.shell.log_event("client " + std::to_string(id_.value) +
                               ": session ended: " + std::string(fault));
    ended_ = true;
}

} // namespace knotvane::edge
