#include "http_gateway/client_response.hpp"

namespace knotvane::http_gateway {
namespace {

const char *reason_phrase(unsigned status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Error";
    }
}

} // namespace

std::string encode(const ClientResponse &response) {
    std::string message = "HTTP/1.1 " + std::to_string(response.status) + " " +
                          reason_phrase(response.status) + "\r\n" + response.headers +
                          "Content-Length: " + std::to_string(response.body.size()) + "\r\n" +
                          (response.closes_connection ? "Connection: close\r\n" : "") + "\r\n";
    message += response.body;
    return message;
}

} // namespace knotvane::http_gateway
