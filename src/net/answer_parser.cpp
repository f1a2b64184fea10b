#include "net/answer_parser.h"

namespace cranberryshed::net {

namespace {

    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;

}

bool hasFoldedLine(std::string_view header)
{
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

error_code checkAnswerHeader(const http::response_header<>& header)
{
    if (header.result_int() < minStatus || header.result_int() > maxStatus)
        return http::error::bad_status;
    return {};
}

}
