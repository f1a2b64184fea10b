#pragma once

#include "wire/asio.h"

namespace cranberryshed::wire {

inline constexpr std::size_t readChunkBytes = 16 * 1024; // requested by one read

// Bound on received bytes that the parser can't use yet, such as the start of a header or of a chunk's extensions. The
// parser itself limits only the header.
inline constexpr std::size_t maxUnparsedBytes = 256 * 1024;

// Parses the bytes in the buffer and reads from the stream only if the parser needs more. Returns once the parser has
// made progress: at the end of the header, after a piece of the body, or with an error. The error
// http::error::need_buffer means that the body's buffer is full and counts as progress.
template <typename Parser>
Task<error_code> parseSome(Stream& stream, beast::flat_buffer& buffer, Parser& parser)
{
    for (;;) {
        if (buffer.size() > 0) {
            error_code error;
            const std::size_t used = parser.put(buffer.data(), error);
            buffer.consume(used);
            if (error != http::error::need_more)
                co_return error;
            if (buffer.size() > maxUnparsedBytes)
                co_return http::error::buffer_overflow;
        }
        auto [error, count] = co_await stream.async_read_some(buffer.prepare(readChunkBytes), useResult);
        buffer.commit(count);
        if (error == asio::error::eof) {
            if (!parser.got_some())
                co_return http::error::end_of_stream;
            error_code endError;
            parser.put_eof(endError);
            co_return endError;
        }
        if (error)
            co_return error;
    }
}

// Reads and parses up to the end of the header.
template <typename Parser>
Task<error_code> parseHeader(Stream& stream, beast::flat_buffer& buffer, Parser& parser)
{
    while (!parser.is_header_done()) {
        const error_code error = co_await parseSome(stream, buffer, parser);
        if (error)
            co_return error;
    }
    co_return error_code();
}

}
