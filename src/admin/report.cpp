#include "admin/report.h"

#include "admin/compare.h"

#include <algorithm>
#include <boost/json.hpp>

namespace cranberryshed::admin {

namespace json = boost::json;

namespace {

    std::string nameOf(const core::Object& object)
    {
        return object.kind + '/' + object.name;
    }

    std::size_t count(const Context& context, Change change)
    {
        return static_cast<std::size_t>(std::count_if(context.differences.begin(), context.differences.end(), [&](const Difference& difference) { return difference.change == change; }));
    }

    void printDifference(const Difference& difference, std::ostream& output)
    {
        if (difference.change == Change::Same && !difference.needsRewrite)
            return;
        output << nameOf(difference.declared) << ": "
               << (difference.needsRewrite ? "same, but the store lost later writes" : core::nameOf(difference.change)) << '\n';
        if (difference.change != Change::Changed)
            return;
        for (const std::string& line : differingKeys(difference.stored.object.content, difference.declared.content))
            output << "    " << line << '\n';
    }

    // Prints both versions of an object that another writer has changed.
    void printConflict(const WriteReport& entry, std::ostream& output)
    {
        const core::Object& stored = entry.stored.object;
        if (stored.version.version == 0 || stored.deleted)
            output << "    the store has none\n";
        else
            output << "    in the store, revision " << stored.version.revision << ", by " << entry.stored.writeId.writer << ": " << stored.content << '\n';
        output << "    declared here: " << entry.declared.content << '\n';
    }

    void printWrite(const WriteReport& entry, std::ostream& output)
    {
        output << nameOf(entry.declared) << ": " << core::nameOf(entry.outcome);
        if (entry.outcome == WriteOutcome::Written)
            output << ", version " << entry.stored.object.version.version;
        output << '\n';
        if (entry.outcome == WriteOutcome::Conflict)
            printConflict(entry, output);
    }

    void printText(const Context& context, std::ostream& output)
    {
        for (const declare::Problem& problem : context.problems)
            output << problem.path << ": " << problem.text << '\n';
        for (const Difference& difference : context.differences)
            printDifference(difference, output);
        if (!context.differences.empty()) {
            output << "difference: " << count(context, Change::Added) << " added, " << count(context, Change::Changed) << " changed, "
                   << count(context, Change::Same) << " same, " << count(context, Change::OnlyInStore) << " only in the store\n";
        }
        for (const WriteReport& entry : context.writes)
            printWrite(entry, output);
        if (context.revision > 0 && !context.failure)
            output << "accepted as revision " << context.revision << '\n';
        if (context.failure)
            output << "error: " << context.failureText << '\n';
        else if (context.differences.empty())
            output << context.declared.size() << " objects checked, no faults\n";
    }

    json::value contentOf(const core::Object& object)
    {
        boost::system::error_code error;
        json::value value = json::parse(object.content, error);
        return error ? json::value() : value;
    }

    json::object versionOf(const store::StoredObject& stored)
    {
        return {
            { "revision", stored.object.version.revision },
            { "version", stored.object.version.version },
            { "writer", stored.writeId.writer },
            { "content", contentOf(stored.object) },
        };
    }

    void printJson(const Context& context, std::ostream& output)
    {
        json::array problems;
        for (const declare::Problem& problem : context.problems)
            problems.emplace_back(json::object { { "path", problem.path }, { "text", problem.text } });
        json::array differences;
        for (const Difference& difference : context.differences) {
            json::array keys;
            if (difference.change == Change::Changed) {
                for (const std::string& line : differingKeys(difference.stored.object.content, difference.declared.content))
                    keys.emplace_back(line);
            }
            differences.emplace_back(json::object { { "kind", difference.declared.kind }, { "name", difference.declared.name },
                { "change", core::nameOf(difference.change) }, { "rewrite", difference.needsRewrite }, { "keys", std::move(keys) } });
        }
        json::array writes;
        for (const WriteReport& entry : context.writes) {
            json::object row { { "kind", entry.declared.kind }, { "name", entry.declared.name }, { "outcome", core::nameOf(entry.outcome) } };
            if (entry.outcome == WriteOutcome::Written)
                row["version"] = entry.stored.object.version.version;
            if (entry.outcome == WriteOutcome::Conflict) {
                row["stored"] = versionOf(entry.stored);
                row["declared"] = contentOf(entry.declared);
            }
            writes.emplace_back(std::move(row));
        }
        json::object all { { "problems", std::move(problems) }, { "differences", std::move(differences) }, { "writes", std::move(writes) }, { "revision", context.revision } };
        if (context.failure)
            all["error"] = json::object { { "kind", core::errorInfo(*context.failure).name }, { "text", context.failureText } };
        output << json::serialize(all) << '\n';
    }

}

int report(const Context& context, std::ostream& output)
{
    if (context.options.output == OutputFormat::Json)
        printJson(context, output);
    else
        printText(context, output);
    return context.failure ? core::errorInfo(*context.failure).exitCode : 0;
}

int reportError(const core::Error& error, OutputFormat format, std::ostream& output)
{
    if (format == OutputFormat::Json)
        output << json::serialize(json::object { { "error", json::object { { "kind", core::errorInfo(error.kind()).name }, { "text", error.what() } } } }) << '\n';
    else
        output << "error: " << error.what() << '\n';
    return core::errorInfo(error.kind()).exitCode;
}

}
