#pragma once

// Reads HTTP messages from a connection piece by piece.

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace cranberryshed::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

inline constexpr std::size_t readChunkBytes = 16 * 1024; // requested by one read

// Bound on received bytes that the parser can't use yet, such as the start of a header or of a chunk's extensions. The
// parser itself limits only the header.
inline constexpr std::size_t maxUnparsedBytes = 256 * 1024;

// The result of a read on a stream of this type.
template <typename StreamType>
using ReadTask = asio::awaitable<error_code, typename StreamType::executor_type>;

// Completion token that returns the error code as a value instead of throwing an exception.
template <typename StreamType>
inline constexpr auto useResult = asio::as_tuple(asio::use_awaitable_t<typename StreamType::executor_type>());

// Parses the bytes in the buffer and reads from the stream only if the parser needs more. Returns once the parser has
// made progress: at the end of the header, after a piece of the body, or with an error. The error
// http::error::need_buffer means that the body's buffer is full and counts as progress.
template <typename StreamType, typename Parser>
ReadTask<StreamType> parseSome(StreamType& stream, beast::flat_buffer& buffer, Parser& parser)
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
        auto [error, count] = co_await stream.async_read_some(buffer.prepare(readChunkBytes), useResult<StreamType>);
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
template <typename StreamType, typename Parser>
ReadTask<StreamType> parseHeader(StreamType& stream, beast::flat_buffer& buffer, Parser& parser)
{
    while (!parser.is_header_done()) {
        const error_code error = co_await parseSome(stream, buffer, parser);
        if (error)
            co_return error;
    }
    co_return error_code();
}

}
