#pragma once

#include "net/stream_parser.h"

#include <optional>
#include <string_view>

namespace cranberryshed::net {

// A server can send interim answers (1xx) without end. With more before one final answer, the answer counts as broken.
inline constexpr int maxInterimAnswers = 8;

// Whether a part of a header contains a line that begins with a blank or tab. Beast joins such a line to the one before
// it (RFC 9112, section 5.2), although its sender can have meant a field of its own, such as Content-Length.
bool hasFoldedLine(std::string_view header);

// Checks the complete header of an answer for errors that Beast's parser accepts: a status outside 100 to 599, and a
// transfer coding other than chunked, which no request here asks for (RFC 9112, sections 6.1 and 7).
error_code checkAnswerHeader(const http::response_header<>&);

// Parses one HTTP answer. Every reader of answers uses this parser, so that a broken answer counts as one everywhere.
template <typename Body>
class AnswerParser : public http::response_parser<Body> {
public:
    // Like the parser's own function, which this one hides. Reports an invalid header before any of it can be used.
    std::size_t put(asio::const_buffer bytes, error_code& error)
    {
        const bool wasInHeader = !this->is_header_done();
        const std::size_t used = http::response_parser<Body>::put(bytes, error);
        if (wasInHeader && hasFoldedLine({ static_cast<const char*>(bytes.data()), used }))
            error = http::error::bad_field;
        else if (wasInHeader && this->is_header_done() && !error)
            error = checkAnswerHeader(this->get().base());
        return used;
    }

private:
    // Drops the fields of a trailer: they must not be merged into the header (RFC 9110, section 6.5.1), and nothing here
    // needs them.
    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value, error_code& error) override
    {
        error = {};
        if (!this->is_header_done())
            this->get().insert(name, nameText, value);
    }
};

// Whether nothing can show that this answer is complete: its body ends with the connection, and a write on the connection
// has failed. That write has taken the socket's error, so that a reset reads like an orderly end afterwards.
template <typename Body>
bool isEndUnknown(const AnswerParser<Body>& parser, bool hasWriteFailed)
{
    return hasWriteFailed && parser.need_eof();
}

// Reads up to the end of the next header that is not of an interim answer (1xx). `makeParser` returns a reference to a
// new parser for each header.
template <typename StreamType, typename MakeParser>
ReadTask<StreamType> readFinalHeader(StreamType& stream, beast::flat_buffer& buffer, MakeParser makeParser)
{
    for (int i = 0; i <= maxInterimAnswers; ++i) {
        auto& parser = makeParser();
        const error_code error = co_await parseHeader(stream, buffer, parser);
        if (error || parser.get().result_int() / 100 != 1)
            co_return error;
    }
    co_return http::error::bad_status;
}

// Reads a whole answer into `parser`. Its body must grow by itself, such as a string.
template <typename StreamType, typename Body>
ReadTask<StreamType> readAnswer(StreamType& stream, beast::flat_buffer& buffer, std::optional<AnswerParser<Body>>& parser, std::uint64_t maxBodyBytes)
{
    const auto makeParser = [&]() -> AnswerParser<Body>& {
        parser.emplace().body_limit(maxBodyBytes);
        return *parser;
    };
    const error_code headerError = co_await readFinalHeader(stream, buffer, makeParser);
    if (headerError || parser->is_done())
        co_return headerError;
    auto [error, count] = co_await http::async_read(stream, buffer, *parser, useResult<StreamType>);
    co_return error;
}

}
