#include "app/subcommands.h"
#include "core/errors.h"
#include "net/answer_parser.h"
#include "wire/endpoint.h"
#include "wire/header.h"

#include <iostream>

namespace cranberryshed::app {

namespace po = boost::program_options;

namespace {

    constexpr std::chrono::seconds timeout(5);
    constexpr std::uint64_t maxPageBytes = 64ULL << 20;

    // Returns the body of a page at the admin address of an entry VM. Throws boost::system::system_error on failure.
    std::string fetch(const std::string& address, const std::string& path)
    {
        namespace http = wire::http;
        wire::asio::io_context context;
        wire::beast::tcp_stream stream(context);
        std::string result;
        wire::asio::co_spawn(
            context, [&]() -> wire::asio::awaitable<void> {
            stream.expires_after(timeout);
            co_await stream.async_connect(wire::parseEndpoint(address), wire::asio::use_awaitable);
            http::request<http::empty_body> request(http::verb::get, path, 11);
            request.set(http::field::host, address);
            co_await http::async_write(stream, request, wire::asio::use_awaitable);
            wire::beast::flat_buffer buffer;
            std::optional<net::AnswerParser<http::string_body>> parser;
            if (const wire::error_code error = co_await net::readAnswer(stream, buffer, parser, maxPageBytes))
                throw boost::system::system_error(error);
            result = parser->get().body(); },
            [&](const std::exception_ptr& exception) {
                if (exception)
                    std::rethrow_exception(exception);
            });
        context.run();
        return result;
    }

    void printIndented(std::ostream& out, const boost::json::value& value, std::string indent = {})
    {
        namespace json = boost::json;
        if (const json::object* object = value.if_object(); object && !object->empty()) {
            out << "{\n";
            std::string_view separator;
            for (const auto& [key, member] : *object) {
                out << separator << indent << "  " << json::serialize(key) << ": ";
                printIndented(out, member, indent + "  ");
                separator = ",\n";
            }
            out << '\n'
                << indent << '}';
        } else if (const json::array* array = value.if_array(); array && !array->empty()) {
            out << "[\n";
            std::string_view separator;
            for (const json::value& member : *array) {
                out << separator << indent << "  " << json::serialize(member);
                separator = ",\n";
            }
            out << '\n'
                << indent << ']';
        } else
            out << json::serialize(value);
    }

}

int dumpCommand(const Arguments& arguments)
{
    po::options_description options("options");
    options.add_options()("address", po::value<std::string>()->required(), "admin address of an entry VM, IP:port");
    addOutputOption(options);
    po::positional_options_description positional;
    positional.add("address", 1);
    const std::optional<po::variables_map> values = parseArguments("dump ADDRESS", "Prints the state of one entry VM.", options, arguments, positional);
    if (!values)
        return 0;
    const admin::OutputFormat format = outputForm(*values);
    const std::string text = fetch((*values)["address"].as<std::string>(), "/v1/dump");
    if (format == admin::OutputFormat::Json)
        std::cout << text << '\n';
    else {
        printIndented(std::cout, boost::json::parse(text));
        std::cout << '\n';
    }
    return 0;
}

}
