#include "wire/endpoint.h"

#include "core/errors.h"

#include <charconv>
#include <sstream>

namespace cranberryshed::wire {

tcp::endpoint parseEndpoint(std::string_view text)
{
    const auto fail = [&] { throw core::Error(core::ErrorKind::BadSettings, "\"" + std::string(text) + "\" is not IP:port"); };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        fail();
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, parseError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parseError != std::errc() || end != digits.data() + digits.size())
        fail();
    error_code error;
    const asio::ip::address address = asio::ip::make_address(std::string(host), error);
    if (error)
        fail();
    return { address, port };
}

std::string formatEndpoint(const tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

}
