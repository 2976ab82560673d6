#include "planner/admin_client.hpp"

#include <stdexcept>

#include "control/decode.hpp"
#include "control/encode.hpp"
#include "loop/outgoing_connection.hpp"

namespace knotvane::planner {
namespace {

struct ReplyHandler final : control::MessageHandler {
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
    void handle_unexpected(std::string_view message) override {
        error = "unexpected message: " + std::string(message);
    }
};

ReplyHandler send_request(const std::string &address, const std::string &request, Time timeout) {
    ReplyHandler reply;
    control::MessageDecoder decoder;
    loop::Loop loop;
    loop::OutgoingConnection connection(loop, address);
    std::string error;
    connection.on_connected = [&] {
        connection.send(request);
        connection.flush();
    };
    connection.on_disconnected = [&] {
        if (!reply.received)
            error = "connection failed or was closed before an answer arrived";
        loop.stop();
    };
    connection.on_received = [&](std::string_view bytes) {
        std::string protocol_error;
        try {
            decoder.decode(bytes, reply);
            protocol_error = reply.error;
        } catch (const control::ProtocolError &exception) {
            protocol_error = exception.what();
        }
        if (!protocol_error.empty())
            error = "the peer does not answer as a planner: " + protocol_error;
        if (reply.received || !protocol_error.empty())
            loop.stop();
    };
    const Time deadline = loop::now() + timeout;
    loop.set_before_wait_callback([&] {
        if (loop::now() >= deadline && !reply.received) {
            error = "no answer within " + std::to_string(timeout / ms) +
                    "ms; the request may still be carried out";
            loop.stop();
        }
        return deadline;
    });
    connection.connect();
    loop.run();
    connection.disconnect();
    if (!error.empty())
        throw std::runtime_error("planner " + address + ": " + error);
    return reply;
}

} // namespace

std::string AdminClient::status() const {
    return send_request(address_, control::encode(control::StatusRequest{}), timeout_).status;
}

control::OperationResult AdminClient::drain(const control::DrainRequest &request) const {
    return send_request(address_, control::encode(request), timeout_).result;
}

control::OperationResult AdminClient::snapshot(const control::SnapshotRequest &request) const {
    return send_request(address_, control::encode(request), timeout_).result;
}

} // namespace knotvane::planner
