#include "planner/admin_client.hpp"

#include <stdexcept>

#include "control/decode.hpp"
#include "control/encode.hpp"
#include "loop/outgoing_connection.hpp"

namespace knotvane::planner {
namespace {

struct Answer final : control::MessageHandler {
    std::string status;
    control::OperationResult result;
    std::string error;
    bool received = false;

    using MessageHandler::handle;
    void handle(const control::Status &message) override {
        status = message.json;
        received = true;
    }
    void handle(const control::OperationResult &message) override {
        result = message;
        received = true;
    }
    void handle_unexpected(std::string_view message) override { error = message; }
};

Answer ask(const std::string &address, const std::string &request, Time timeout) {
    Answer answer;
    control::MessageDecoder decoder;
    loop::Loop loop;
    loop::OutgoingConnection connection(loop, address);
    std::string error;
    connection.on_connected = [&] {
        connection.send(request);
        connection.flush();
    };
    connection.on_disconnected = [&] {
        if (!answer.received)
            error = "no planner answers there";
        loop.stop();
    };
    connection.on_received = [&](std::string_view bytes) {
        std::string why;
        try {
            decoder.decode(bytes, answer);
            why = answer.error;
        } catch (const control::ProtocolError &e) {
            why = e.what();
        }
        if (!why.empty())
            error = "what answers is no planner: " + why;
        if (answer.received || !why.empty())
            loop.stop();
    };
    const Time deadline = loop::now() + timeout;
    loop.set_before_wait_callback([&] {
        if (loop::now() >= deadline && !answer.received) {
            error = "no answer within " + std::to_string(timeout / ms) + "ms";
            loop.stop();
        }
        return deadline;
    });
    connection.connect();
    loop.run();
    connection.disconnect();
    if (!error.empty())
        throw std::runtime_error("planner " + address + ": " + error);
    return answer;
}

} // namespace

std::string AdminClient::status() const {
    return ask(address_, control::encode(control::StatusRequest{}), timeout_).status;
}

control::OperationResult AdminClient::drain(const control::DrainRequest &request) const {
    return ask(address_, control::encode(request), timeout_).result;
}

control::OperationResult AdminClient::snapshot(const control::SnapshotRequest &request) const {
    return ask(address_, control::encode(request), timeout_).result;
}

} // namespace knotvane::planner
