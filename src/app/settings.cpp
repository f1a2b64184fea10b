#include "app/settings.h"

#include "core/duration.h"
#include "declare/key_schema.h"
#include "wire/event_log.h"

#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <spdlog/pattern_formatter.h>

namespace cranberryshed::app {

namespace json = boost::json;
using declare::KeySchema;
using declare::ValueType;

namespace {

    constexpr double minuteMs = 60'000;
    constexpr double hourMs = 3'600'000;

    constexpr std::array limitKeys = {
        KeySchema { "headerBytes", ValueType::Integer, false, 512, 1'048'576 },
        KeySchema { "bodyBytes", ValueType::Integer, false, 0, 1e13 },
        KeySchema { "replayBytes", ValueType::Integer, false, 0, 16'777'216 },
        KeySchema { "headerTimeoutMs", ValueType::Integer, false, 10, hourMs },
        KeySchema { "idleTimeoutMs", ValueType::Integer, false, 10, hourMs },
        KeySchema { "progressTimeoutMs", ValueType::Integer, false, 10, hourMs },
        KeySchema { "connectTimeoutMs", ValueType::Integer, false, 1, minuteMs },
        KeySchema { "connectionsPerCaller", ValueType::Integer, false, 1, 65'535 },
    };

    constexpr std::array shutdownKeys = {
        KeySchema { "acceptMs", ValueType::Integer, false, 0, minuteMs },
        KeySchema { "drainMs", ValueType::Integer, false, 0, 24 * hourMs },
        KeySchema { "within", ValueType::Text },
    };

    constexpr std::array logKeys = {
        KeySchema { "level", ValueType::Choice, false, 0, 0, {}, core::Names<LogLevel>::values },
        KeySchema { "format", ValueType::Choice, false, 0, 0, {}, core::Names<LogFormat>::values },
    };

    constexpr std::array retryKeys = {
        KeySchema { "share", ValueType::Number, false, 0, 1 },
        KeySchema { "slack", ValueType::Number, false, 0, 1e6 },
    };

    constexpr std::array changeKeys = {
        KeySchema { "leavingWithin", ValueType::Text },
        KeySchema { "configurationWithin", ValueType::Text },
    };

    constexpr std::array domainKeys = {
        KeySchema { "name", ValueType::Name, true },
        KeySchema { "region", ValueType::Name, true },
    };

    constexpr std::array settingsKeys = {
        KeySchema { "fleet", ValueType::Name },
        KeySchema { "name", ValueType::Name, true },
        KeySchema { "failureDomain", ValueType::Name, true },
        KeySchema { "callerAddress", ValueType::ListenEndpoint, true },
        KeySchema { "adminAddress", ValueType::ListenEndpoint, true },
        KeySchema { "peerAddress", ValueType::ListenEndpoint, true },
        KeySchema { "storeAddress", ValueType::Endpoint, true },
        KeySchema { "peers", ValueType::EndpointList },
        KeySchema { "peerPort", ValueType::Integer, false, 1, 65'535 },
        KeySchema { "lookupAddress", ValueType::ListenEndpoint },
        KeySchema { "readinessAddress", ValueType::ListenEndpoint },
        KeySchema { "domains", ValueType::ObjectList, false, 1, 0, domainKeys },
        KeySchema { "trafficThreads", ValueType::Integer, false, 1, 64 },
        KeySchema { "seed", ValueType::Integer, false, 0, 9e15 },
        KeySchema { "chooser", ValueType::Choice, false, 0, 0, {}, core::Names<request::ChooserKind>::values },
        KeySchema { "limits", ValueType::Object, false, 0, 0, limitKeys },
        KeySchema { "retries", ValueType::Object, false, 0, 0, retryKeys },
        KeySchema { "shutdown", ValueType::Object, false, 0, 0, shutdownKeys },
        KeySchema { "changes", ValueType::Object, false, 0, 0, changeKeys },
        KeySchema { "log", ValueType::Object, false, 0, 0, logKeys },
    };

    json::value parseText(std::string_view text, json::error_code& error)
    {
        json::parse_options options;
        options.allow_comments = true;
        options.allow_trailing_commas = true;
        return json::parse(text, error, {}, options);
    }

    // Copies the values of the keys that are present to the given variables, which hold the defaults. The types have
    // already been checked.
    class SettingsReader {
    public:
        explicit SettingsReader(const json::object& source)
            : object(source)
        {
        }

        void text(const char* key, std::string& target) const
        {
            if (const json::value* value = this->object.if_contains(key))
                target = value->as_string();
        }

        template <typename Number>
        void number(const char* key, Number& target) const
        {
            if (const json::value* value = this->object.if_contains(key))
                target = static_cast<Number>(value->to_number<double>());
        }

        void milliseconds(const char* key, core::Duration& target) const
        {
            if (const json::value* value = this->object.if_contains(key))
                target = std::chrono::milliseconds(static_cast<std::int64_t>(value->to_number<double>()));
        }

        template <core::NamedEnum Enum>
        void choice(const char* key, Enum& target) const
        {
            std::string name;
            this->text(key, name);
            target = core::parseName<Enum>(name).value_or(target);
        }

        void texts(const char* key, std::vector<std::string>& target) const
        {
            if (const json::value* value = this->object.if_contains(key)) {
                for (const json::value& entry : value->as_array())
                    target.emplace_back(entry.as_string());
            }
        }

        // Reads a list of objects into a map from the values of key `first` to those of key `second`.
        void pairs(const char* key, const char* first, const char* second, std::map<std::string, std::string>& target) const
        {
            if (const json::value* value = this->object.if_contains(key)) {
                for (const json::value& entry : value->as_array())
                    target.emplace(entry.as_object().at(first).as_string(), entry.as_object().at(second).as_string());
            }
        }

        SettingsReader section(const char* key) const
        {
            static const json::object empty;
            const json::value* value = this->object.if_contains(key);
            return SettingsReader(value ? value->as_object() : empty);
        }

    private:
        const json::object& object;
    };

    void readLimits(const SettingsReader& reader, wire::TrafficLimits& limits)
    {
        reader.number("headerBytes", limits.maxHeaderBytes);
        reader.number("bodyBytes", limits.maxBodyBytes);
        reader.number("replayBytes", limits.maxReplayBytes);
        reader.milliseconds("headerTimeoutMs", limits.headerTimeout);
        reader.milliseconds("idleTimeoutMs", limits.idleTimeout);
        reader.milliseconds("progressTimeoutMs", limits.progressTimeout);
        reader.milliseconds("connectTimeoutMs", limits.connectTimeout);
        reader.number("connectionsPerCaller", limits.maxConnectionsPerCaller);
    }

    // Reads a time such as "6s". Adds a problem if the text is something else; returns nothing then or if it is absent.
    std::optional<core::Duration> readTime(const SettingsReader& reader, const std::string& section, const char* key, std::vector<declare::Problem>& problems)
    {
        std::string text;
        reader.section(section.c_str()).text(key, text);
        if (text.empty())
            return std::nullopt;
        const std::optional<core::Duration> time = core::parseDuration(text);
        if (!time)
            problems.push_back({ section + "." + key, "must be a time such as \"6s\" or \"1500ms\"" });
        return time;
    }

    // Reads `within`, the time from the stop signal until the process is killed. Half of it is spent on accepting
    // requests while leaving, and 42 % on draining them; the rest is the margin for the end of the process.
    void readShutdownTime(const SettingsReader& reader, EntryVmOptions& vm, std::vector<declare::Problem>& problems)
    {
        constexpr double acceptShare = 0.5;
        constexpr double drainShare = 0.42;
        const std::optional<core::Duration> within = readTime(reader, "shutdown", "within", problems);
        if (!within)
            return;
        vm.acceptTimeWhileLeaving = std::chrono::duration_cast<core::Duration>(*within * acceptShare);
        vm.maxDrainTime = std::chrono::duration_cast<core::Duration>(*within * drainShare);
    }

    Settings toSettings(const SettingsReader& reader, std::vector<declare::Problem>& problems)
    {
        Settings settings;
        EntryVmOptions& vm = settings.vm;
        reader.text("fleet", vm.fleet);
        reader.text("name", vm.name);
        reader.text("failureDomain", vm.domain);
        reader.text("callerAddress", vm.callerAddress);
        reader.text("adminAddress", vm.adminAddress);
        reader.text("peerAddress", vm.peerAddress);
        reader.text("storeAddress", vm.storeAddress);
        reader.texts("peers", vm.seeds);
        reader.number("peerPort", vm.peerPort);
        reader.text("lookupAddress", vm.lookupAddress);
        reader.text("readinessAddress", vm.readinessAddress);
        reader.pairs("domains", "name", "region", vm.domains);
        reader.number("trafficThreads", vm.trafficThreads);
        reader.number("seed", vm.randomSeed);
        reader.choice("chooser", vm.chooser);
        readLimits(reader.section("limits"), vm.limits);
        reader.section("retries").number("share", vm.retryShare);
        reader.section("retries").number("slack", vm.retrySlack);
        reader.section("shutdown").milliseconds("acceptMs", vm.acceptTimeWhileLeaving);
        reader.section("shutdown").milliseconds("drainMs", vm.maxDrainTime);
        readShutdownTime(reader, vm, problems);
        vm.leavingWithin = readTime(reader, "changes", "leavingWithin", problems).value_or(vm.leavingWithin);
        vm.configurationWithin = readTime(reader, "changes", "configurationWithin", problems).value_or(vm.configurationWithin);
        reader.section("log").choice("level", settings.logLevel);
        reader.section("log").choice("format", settings.logFormat);
        return settings;
    }

}

Settings parseSettings(std::string_view text, std::vector<declare::Problem>& problems)
{
    json::error_code error;
    const json::value value = parseText(text, error);
    if (error) {
        problems.push_back({ "settings", "not valid JSON: " + error.message() });
        return {};
    }
    const std::size_t before = problems.size();
    declare::checkKeys("", settingsKeys, value, declare::UnknownKeys::Refuse, problems);
    return problems.size() == before ? toSettings(SettingsReader(value.as_object()), problems) : Settings {};
}

Settings readSettings(const std::string& path, std::vector<declare::Problem>& problems)
{
    std::ifstream file(path);
    if (!file) {
        problems.push_back({ path, "can't be read" });
        return {};
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return parseSettings(text, problems);
}

bool looksLikeSettings(std::string_view text)
{
    json::error_code error;
    const json::value value = parseText(text, error);
    return !error && value.is_object() && !value.as_object().contains("kind");
}

namespace {

    // Pattern flag that writes the message as a JSON string, because unescaped quotes would make the line invalid JSON.
    class JsonMessageFlag : public spdlog::custom_flag_formatter {
    public:
        void format(const spdlog::details::log_msg& message, const std::tm&, spdlog::memory_buf_t& line) override
        {
            const std::string text = json::serialize(json::string(json::string_view(message.payload.data(), message.payload.size())));
            line.append(text.data(), text.data() + text.size());
        }

        std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<JsonMessageFlag>(); }
    };

}

void startLogging(LogLevel level, LogFormat format)
{
    constexpr std::array levels = { spdlog::level::debug, spdlog::level::info, spdlog::level::warn, spdlog::level::err };
    static_assert(levels.size() == core::enumeratorCount<LogLevel>());
    wire::startEventLog();
    spdlog::set_level(levels[static_cast<std::size_t>(level)]);
    if (format == LogFormat::Json) {
        auto formatter = std::make_unique<spdlog::pattern_formatter>();
        formatter->add_flag<JsonMessageFlag>('*').set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","text":%*})");
        spdlog::default_logger()->set_formatter(std::move(formatter));
    } else
        spdlog::default_logger()->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
}

}
