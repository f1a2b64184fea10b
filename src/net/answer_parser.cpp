#include "net/answer_parser.h"

namespace cranberryshed::net {

namespace {

    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;

}

error_code checkAnswerHeader(const http::response_header<>& header)
{
    if (header.result_int() < minStatus || header.result_int() > maxStatus)
        return http::error::bad_status;
    return {};
}

}
