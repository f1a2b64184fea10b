#include "app/explain.h"

#include "core/names.h"
#include "wire/event_log.h"

#include <algorithm>
#include <fmt/format.h>
#include <istream>
#include <map>
#include <ostream>
#include <set>

namespace cranberryshed::app {

namespace json = boost::json;

namespace {

    constexpr std::string_view timeField = "unixMs";
    constexpr std::string_view eventField = "event";

    json::string_view jsonKey(std::string_view name)
    {
        return { name.data(), name.size() };
    }

    std::string jsonText(const json::value& value)
    {
        return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
    }

    std::string fieldText(const LogRecord& record, wire::LogField field)
    {
        const json::value* value = record.fields.if_contains(jsonKey(core::nameOf(field)));
        return value ? jsonText(*value) : std::string();
    }

    std::int64_t fieldNumber(const LogRecord& record, wire::LogField field)
    {
        const json::value* value = record.fields.if_contains(jsonKey(core::nameOf(field)));
        json::error_code error;
        return value && value->is_number() ? value->to_number<std::int64_t>(error) : 0;
    }

    bool isEvent(const LogRecord& record, wire::LogEvent event)
    {
        return record.event == core::nameOf(event);
    }

    // Returns the last word of the text before a line's JSON object. Log collectors put the origin there.
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
        const json::value* time = fields.if_contains(jsonKey(timeField));
        const json::value* event = fields.if_contains(jsonKey(eventField));
        if (!time || !time->is_int64() || !event || !event->is_string())
            return false;
        record.unixMs = time->get_int64();
        record.event = jsonText(*event);
        record.origin = lastWord(std::string_view(line).substr(0, begin));
        if (record.origin.empty())
            record.origin = origin;
        record.fields = std::move(fields);
        return true;
    }

    // Formats the fields that have a value as name=value, except for the time, the event and the request: each line of
    // a timeline starts with the first two, and all lines share the request.
    std::string describe(const LogRecord& record)
    {
        std::string text;
        for (const auto& [name, value] : record.fields) {
            const bool isShown = name != jsonKey(timeField) && name != jsonKey(eventField) && name != jsonKey(core::nameOf(wire::LogField::Request));
            if (isShown && !jsonText(value).empty())
                text += fmt::format(" {}={}", std::string_view(name.data(), name.size()), jsonText(value));
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
    std::vector<const LogRecord*> timeline;
    std::set<std::string> fingerprints;
    for (const LogRecord& record : records) {
        if (fieldText(record, wire::LogField::Request) != request)
            continue;
        timeline.push_back(&record);
        fingerprints.insert(fieldText(record, wire::LogField::Fingerprint));
    }
    fingerprints.erase("");
    for (const LogRecord& record : records) {
        if (fieldText(record, wire::LogField::Request).empty() && fingerprints.contains(fieldText(record, wire::LogField::Fingerprint)))
            timeline.push_back(&record);
    }
    std::ranges::stable_sort(timeline, {}, &LogRecord::unixMs);
    for (const LogRecord* record : timeline)
        out << fmt::format("+{} ms  {}  {}{}\n", record->unixMs - timeline.front()->unixMs, record->origin, record->event, describe(*record));
    return !timeline.empty();
}

void printSlowest(const std::vector<LogRecord>& records, std::size_t count, std::ostream& out)
{
    std::vector<const LogRecord*> answered;
    for (const LogRecord& record : records) {
        if (isEvent(record, wire::LogEvent::Answered))
            answered.push_back(&record);
    }
    const auto elapsed = [](const LogRecord* record) { return fieldNumber(*record, wire::LogField::ElapsedMs); };
    std::ranges::stable_sort(answered, std::ranges::greater(), elapsed);
    answered.resize(std::min(answered.size(), count));
    for (const LogRecord* record : answered)
        out << fmt::format("{} ms  {}  {}  class={} attempt={}\n", elapsed(record), fieldText(*record, wire::LogField::Request), record->origin, fieldText(*record, wire::LogField::Class), fieldText(*record, wire::LogField::Attempt));
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
        Group& group = groups[fieldText(record, wire::LogField::Error)];
        // Lines that the log dropped are counted in the next line that it wrote.
        group.count += 1 + static_cast<std::size_t>(fieldNumber(record, wire::LogField::Dropped));
        if (group.example.empty())
            group.example = fieldText(record, wire::LogField::Request);
    }
    for (const auto& [error, group] : groups)
        out << fmt::format("{}  {}  for example {}\n", group.count, error, group.example);
}

}
