#include "http_gateway/config.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

#include "http_gateway/host.hpp"

namespace knotvane::http_gateway {
namespace {

// A limit beyond this is a mistake in the configuration.
constexpr int max_memory_megabytes = 1'000'000;

using nlohmann::json;
using scheduler_setup::MalformedInput;

constexpr std::int64_t min_sockets = 32;

// An invalid value is quoted in the error's message up to this many bytes.
constexpr std::size_t max_quoted_bytes = 80;

/// Returns a value as the text of an option. Characters that separate options and list entries
/// (blanks, commas, line ends) are replaced by '_'.
std::string option_text(const json &value) {
    if (value.is_null())
        return {};
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    for (char &character : text)
        if (character == ' ' || character == ',' || character == '\n' || character == '\r')
            character = '_';
    return text;
}

/// Appends a line "path=value" for each value below `value`. A list of texts or numbers becomes one
/// line with its entries separated by commas. For a list of objects, the size is written at
/// "path.count" and the members of object number N below "path.N".
void append_options(const json &value, const std::string &path, std::string &lines) {
    auto member_path = [&](const std::string &name) {
        return path.empty() ? name : path + "." + name;
    };
    if (value.is_object()) {
        for (const auto &[name, member] : value.items())
            append_options(member, member_path(name), lines);
    } else if (value.is_array() && !value.empty() && value[0].is_object()) {
        lines += path + ".count=" + std::to_string(value.size()) + "\n";
        for (std::size_t i = 0; i < value.size(); ++i)
            append_options(value[i], member_path(std::to_string(i)), lines);
    } else if (value.is_array()) {
        lines += path + "=";
        for (std::size_t i = 0; i < value.size(); ++i)
            lines += (i > 0 ? "," : "") + option_text(value[i]);
        lines += "\n";
    } else {
        lines += path + "=" + option_text(value) + "\n";
    }
}

} // namespace

struct Config::Document {
    json root;

    explicit Document(std::string_view text) : root(json::parse(text, nullptr, false)) {}

    /// Returns the text of a required field. Throws if it is absent, empty or not a text.
    std::string text(const char *field) const {
        auto it = root.find(field);
        if (it == root.end() || !it->is_string())
            throw MalformedInput(std::string(field) + ": missing or not a string, expected text");
        auto text = it->get<std::string>();
        if (text.empty())
            throw MalformedInput(std::string(field) + ": empty, expected text");
        return text;
    }

    void require_object(const char *field) const {
        auto it = root.find(field);
        if (it == root.end() || !it->is_object())
            throw MalformedInput(std::string(field) +
                                 ": missing or not an object, expected a JSON object");
    }
};

Config::Config(std::string_view text) : document_(std::make_unique<Document>(text)) {
    if (!document_->root.is_object())
        throw MalformedInput("the configuration is not a JSON object");
    document_->require_object("settings");
    document_->require_object("limits");
    // These throw if their field is missing or invalid.
    listen_address();
    discovery_address();
    seed();
    max_sockets();
    max_memory();
    settings();
}

Config::~Config() = default;
Config::Config(Config &&) noexcept = default;
Config &Config::operator=(Config &&) noexcept = default;

std::string Config::name() const {
    return document_->text("name");
}

std::string Config::listen_address() const {
    return document_->text("listen");
}

std::string Config::discovery_address() const {
    return document_->text("discovery");
}

std::uint64_t Config::seed() const {
    constexpr int hexadecimal = 16;
    auto text = document_->text("seed");
    const char *text_end = text.data() + text.size();
    std::uint64_t seed = 0;
    auto [end, error] = std::from_chars(text.data(), text_end, seed, hexadecimal);
    if (error != std::errc() || end != text_end)
        throw MalformedInput("seed: expected up to 16 hexadecimal digits, found \"" +
                             text.substr(0, max_quoted_bytes) + "\"");
    return seed;
}

std::size_t Config::max_sockets() const {
    const json &limits = document_->root["limits"];
    auto it = limits.find("sockets");
    if (it == limits.end() || !it->is_number_integer() || it->get<std::int64_t>() < min_sockets)
        throw MalformedInput("limits.sockets: expected a whole number of at least " +
                             std::to_string(min_sockets));
    return it->get<std::size_t>();
}

std::size_t Config::max_memory() const {
    constexpr double bytes_per_megabyte = 1e6;
    const json &limits = document_->root["limits"];
    auto it = limits.find("memory_mb");
    if (it == limits.end())
        return smallest_host_memory;
    if (!it->is_number() || !(it->get<double>() > 0) || it->get<double>() > max_memory_megabytes)
        throw MalformedInput("limits.memory_mb: expected a number above 0 and up to " +
                             std::to_string(max_memory_megabytes));
    return static_cast<std::size_t>(it->get<double>() * bytes_per_megabyte);
}

std::string Config::known_endpoints() const {
    auto it = document_->root.find("known");
    return it == document_->root.end() || it->is_null() ? std::string() : it->dump();
}

scheduler_setup::Options Config::settings() const {
    std::string lines;
    append_options(document_->root["settings"], "", lines);
    return scheduler_setup::Options(lines);
}

std::vector<std::string> Config::names(const std::string &list) const {
    const json &settings = document_->root["settings"];
    auto it = settings.find(list);
    if (it == settings.end() || !it->is_array())
        throw MalformedInput("settings." + list +
                             ": missing or not a list, expected a list of names");
    std::vector<std::string> names;
    for (const json &entry : *it) {
        const json &name = entry.is_object() && entry.contains("Name") ? entry["Name"] : entry;
        if (!name.is_string())
            throw MalformedInput(
                "settings." + list + "." + std::to_string(names.size()) +
                ": expected a name, either as text or as the field Name of an object");
        names.push_back(name.get<std::string>());
    }
    return names;
}

} // namespace knotvane::http_gateway
