#include "planner/admin_client.hpp"

#include <stdexcept>

#include "control/messages.hpp"
#include "loop/dialled.hpp"

namespace knotvane::planner {
namespace {

struct Answer final : control::MessageHandler {
    std::string text, fault;
    bool come = false, allowed = false, done = false;
    void status(const std::string &json) override { text = json, come = true; }
    void effect(bool may, bool was, const std::string &what) override {
        text = what, allowed = may, done = was, come = true;
    }
    void unexpected(const char *what) override { fault = what; }
};

Answer visit(const std::string &address, const std::string &question, Time wait) {
    Answer answer;
    control::Reader reader;
    loop::Loop loop;
    loop::Dialled line(loop, address);
    std::string fault;
    line.on_up = [&] {
        line.send(question);
        line.flush();
    };
    line.on_down = [&] {
        if (!answer.come)
            fault = "no planner answers there";
        loop.stop();
    };
    line.on_bytes = [&](std::string_view in) {
        auto bad = reader.bytes(in, answer);
        if (bad.empty())
            bad = answer.fault;
        if (!bad.empty())
            fault = "what answers is no planner: " + bad;
        if (answer.come || !bad.empty())
            loop.stop();
    };
    Time until = loop::now() + wait;
    loop.at_end([&] {
        if (loop::now() >= until && !answer.come)
            fault = "no answer within " + std::to_string(wait / ms) + "ms", loop.stop();
        return until;
    });
    line.dial();
    loop.run();
    line.hang_up();
    if (!fault.empty())
        throw std::runtime_error("planner " + address + ": " + fault);
    return answer;
}

} // namespace

std::string ask_status(const std::string &address, Time wait) {
    return visit(address, control::ask_status(), wait).text;
}
std::string ask_drain(const std::string &address, NodeId node, bool draining, std::uint8_t how,
                      bool &allowed, bool &done, Time wait) {
    auto a = visit(address, control::ask_drain(node, draining, how), wait);
    allowed = a.allowed, done = a.done;
    return a.text;
}

std::string ask_cut(const std::string &address, std::uint8_t what, const std::string &name,
                    const std::string &as, const std::string &plan, bool &allowed, bool &done,
                    Time wait) {
    auto a = visit(address, control::ask_cut(what, name, as, plan), wait);
    allowed = a.allowed, done = a.done;
    return a.text;
}

} // namespace knotvane::planner
