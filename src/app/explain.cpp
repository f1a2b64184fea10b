#include "app/explain.h"

#include "core/names.h"
#include "wire/event_log.h"

#include <algorithm>
#include <fmt/format.h>
#include <istream>
#include <map>
#include <ostream>

namespace cranberryshed::app {

namespace json = boost::json;

namespace {

    constexpr std::string_view timeField = "unixMs";
    constexpr std::string_view eventField = "event";

    json::string_view keyOf(std::string_view name)
    {
        return { name.data(), name.size() };
    }

    std::string textOf(const json::value& value)
    {
        return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
    }

    std::string fieldOf(const LogRecord& record, wire::LogField field)
    {
        const json::value* value = record.fields.if_contains(keyOf(core::nameOf(field)));
        return value ? textOf(*value) : std::string();
    }

    std::int64_t numberOf(const LogRecord& record, wire::LogField field)
    {
        const json::value* value = record.fields.if_contains(keyOf(core::nameOf(field)));
        json::error_code error;
        return value && value->is_number() ? value->to_number<std::int64_t>(error) : 0;
    }

    bool isEvent(const LogRecord& record, wire::LogEvent event)
    {
        return record.event == core::nameOf(event);
    }

    // The last word before a line's object, which is where collectors put the origin.
    std::string lastWord(std::string_view prefix)
    {
        const std::size_t end = prefix.find_last_not_of(" \t:|");
        if (end == std::string_view::npos)
            return {};
        const std::size_t begin = prefix.find_last_of(" \t", end);
        return std::string(prefix.substr(begin == std::string_view::npos ? 0 : begin + 1, end - (begin == std::string_view::npos ? 0 : begin + 1) + 1));
    }

    bool readRecord(const std::string& line, const std::string& origin, LogRecord& record)
    {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos)
            return false;
        json::error_code error;
        json::value value = json::parse({ line.data() + begin, line.size() - begin }, error);
        if (error || !value.is_object())
            return false;
        json::object& fields = value.get_object();
        const json::value* time = fields.if_contains(keyOf(timeField));
        const json::value* event = fields.if_contains(keyOf(eventField));
        if (!time || !time->is_int64() || !event || !event->is_string())
            return false;
        record.unixMs = time->get_int64();
        record.event = textOf(*event);
        record.origin = lastWord(std::string_view(line).substr(0, begin));
        if (record.origin.empty())
            record.origin = origin;
        record.fields = std::move(fields);
        return true;
    }

    // All fields that have a value, as name=value, but those that each line of a life begins with or shares.
    std::string describe(const LogRecord& record)
    {
        std::string text;
        for (const auto& [name, value] : record.fields) {
            const bool isShown = name != keyOf(timeField) && name != keyOf(eventField) && name != keyOf(core::nameOf(wire::LogField::Request));
            if (isShown && !textOf(value).empty())
                text += fmt::format(" {}={}", std::string_view(name.data(), name.size()), textOf(value));
        }
        return text;
    }

}

std::vector<LogRecord> readLog(std::istream& in, const std::string& origin)
{
    std::vector<LogRecord> records;
    for (std::string line; std::getline(in, line);) {
        LogRecord record;
        if (readRecord(line, origin, record))
            records.push_back(std::move(record));
    }
    return records;
}

bool printTimeline(const std::vector<LogRecord>& records, const std::string& request, std::ostream& out)
{
    std::vector<const LogRecord*> life;
    for (const LogRecord& record : records) {
        if (fieldOf(record, wire::LogField::Request) == request)
            life.push_back(&record);
    }
    std::ranges::stable_sort(life, {}, &LogRecord::unixMs);
    for (const LogRecord* record : life)
        out << fmt::format("+{} ms  {}  {}{}\n", record->unixMs - life.front()->unixMs, record->origin, record->event, describe(*record));
    return !life.empty();
}

void printSlowest(const std::vector<LogRecord>& records, std::size_t count, std::ostream& out)
{
    std::vector<const LogRecord*> answered;
    for (const LogRecord& record : records) {
        if (isEvent(record, wire::LogEvent::Answered))
            answered.push_back(&record);
    }
    const auto elapsed = [](const LogRecord* record) { return numberOf(*record, wire::LogField::ElapsedMs); };
    std::ranges::stable_sort(answered, std::ranges::greater(), elapsed);
    answered.resize(std::min(answered.size(), count));
    for (const LogRecord* record : answered)
        out << fmt::format("{} ms  {}  {}  class={} attempt={}\n", elapsed(record), fieldOf(*record, wire::LogField::Request), record->origin, fieldOf(*record, wire::LogField::Class), fieldOf(*record, wire::LogField::Attempt));
}

void printRefused(const std::vector<LogRecord>& records, std::ostream& out)
{
    struct Group {
        std::size_t count = 0;
        std::string example;
    };
    std::map<std::string, Group> groups; // by error
    for (const LogRecord& record : records) {
        if (!isEvent(record, wire::LogEvent::Refused))
            continue;
        Group& group = groups[fieldOf(record, wire::LogField::Error)];
        // Lines that the log's bound left out are counted in the next one.
        group.count += 1 + static_cast<std::size_t>(numberOf(record, wire::LogField::Dropped));
        if (group.example.empty())
            group.example = fieldOf(record, wire::LogField::Request);
    }
    for (const auto& [error, group] : groups)
        out << fmt::format("{}  {}  for example {}\n", group.count, error, group.example);
}

}
