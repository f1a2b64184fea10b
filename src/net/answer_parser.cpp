#include "net/answer_parser.h"

#include <iterator>

namespace cranberryshed::net {

namespace {

    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;

    // HTTP/1.0 has no transfer codings.
    bool isChunkedOnly(const http::response_header<>& header)
    {
        if (header.version() < 11 || header.count(http::field::transfer_encoding) != 1)
            return false;
        const http::opt_token_list codings(header[http::field::transfer_encoding]);
        return http::validate_list(codings) && std::ranges::distance(codings) == 1 && beast::iequals(*codings.begin(), "chunked");
    }

}

bool hasFoldedLine(std::string_view header)
{
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

error_code checkAnswerHeader(const http::response_header<>& header)
{
    if (header.result_int() < minStatus || header.result_int() > maxStatus)
        return http::error::bad_status;
    if (header.count(http::field::transfer_encoding) > 0 && !isChunkedOnly(header))
        return http::error::bad_transfer_encoding;
    return {};
}

}
