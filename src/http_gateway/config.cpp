#include "http_gateway/config.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace knotvane::http_gateway {
namespace {

using nlohmann::json;
using scheduler_setup::MalformedInput;

std::string plain(const json &v) {
    std::string s = v.is_string() ? v.get<std::string>() : v.is_null() ? std::string() : v.dump();
    for (char &c : s)
        if (c == ' ' || c == ',' || c == '\n' || c == '\r')
            c = '_';
    return s;
}
void flatten(const json &v, const std::string &path, std::string &out) {
    auto below = [&](const std::string &name) { return path.empty() ? name : path + "." + name; };
    if (v.is_object()) {
        for (auto &[name, inner] : v.items())
            flatten(inner, below(name), out);
    } else if (v.is_array() && !v.empty() && v[0].is_object()) {
        out += path + ".count=" + std::to_string(v.size()) + "\n";
        for (std::size_t i = 0; i < v.size(); ++i)
            flatten(v[i], below(std::to_string(i)), out);
    } else if (v.is_array()) {
        out += path + "=";
        for (std::size_t i = 0; i < v.size(); ++i)
            out += (i ? "," : "") + plain(v[i]);
        out += "\n";
    } else {
        out += path + "=" + plain(v) + "\n";
    }
}

} // namespace

struct Config::Parts {
    json doc;
    const json &at(const char *field, bool fits(const json &), const char *what) const {
        auto it = doc.find(field);
        if (it == doc.end() || !fits(*it))
            throw MalformedInput(std::string(field) + ": expected " + what);
        return *it;
    }
    std::string text(const char *field) const {
        auto s = at(
                     field, [](const json &v) { return v.is_string(); }, "text")
                     .get<std::string>();
        if (s.empty())
            throw MalformedInput(std::string(field) + ": empty");
        return s;
    }
};

Config::Config(std::string_view text) : parts_(std::make_unique<Parts>()) {
    parts_->doc = json::parse(text, nullptr, false);
    if (!parts_->doc.is_object())
        throw MalformedInput("expected a JSON object");
    auto is_object = [](const json &v) { return v.is_object(); };
    parts_->at("settings", is_object, "an object");
    parts_->at("limits", is_object, "an object");
    listen(), discovery(), seed(), sockets(), settings();
}
Config::~Config() = default;
Config::Config(Config &&) noexcept = default;
Config &Config::operator=(Config &&) noexcept = default;

std::string Config::name() const {
    return parts_->text("name");
}
std::string Config::listen() const {
    return parts_->text("listen");
}
std::string Config::discovery() const {
    return parts_->text("discovery");
}
std::uint64_t Config::seed() const {
    auto s = parts_->text("seed");
    std::uint64_t v = 0;
    auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), v, 16);
    if (ec != std::errc() || end != s.data() + s.size())
        throw MalformedInput("seed: expected up to 16 hex digits: " + s.substr(0, 80));
    return v;
}
std::size_t Config::sockets() const {
    const json &limits = parts_->doc["limits"];
    auto it = limits.find("sockets");
    if (it == limits.end() || !it->is_number_integer() || it->get<std::int64_t>() < 32)
        throw MalformedInput("limits.sockets: expected a whole number, 32 or more");
    return it->get<std::size_t>();
}
std::string Config::known() const {
    auto it = parts_->doc.find("known");
    return it == parts_->doc.end() || it->is_null() ? std::string() : it->dump();
}
scheduler_setup::Options Config::settings() const {
    std::string out;
    flatten(parts_->doc["settings"], "", out);
    return scheduler_setup::Options(out);
}
std::vector<std::string> Config::names(const std::string &list) const {
    std::vector<std::string> out;
    auto it = parts_->doc["settings"].find(list);
    if (it == parts_->doc["settings"].end() || !it->is_array())
        throw MalformedInput("settings." + list + ": expected a list");
    for (std::size_t i = 0; i < it->size(); ++i) {
        const json &v = (*it)[i];
        const json *name = v.is_object() && v.contains("Name") ? &v["Name"] : &v;
        if (!name->is_string())
            throw MalformedInput("settings." + list + "." + std::to_string(i) +
                                 ": expected a name");
        out.push_back(name->get<std::string>());
    }
    return out;
}

} // namespace knotvane::http_gateway
