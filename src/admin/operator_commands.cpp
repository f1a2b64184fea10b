#include "admin/operator_commands.h"

#include "admin/blocking_admin_client.h"
#include "admin/pipeline.h"
#include "admin/status.h"
#include "admin/wait.h"
#include "declare/text_formats.h"

#include <boost/json.hpp>

namespace cranberryshed::admin {

namespace json = boost::json;

namespace {

    core::TimePoint steadyNow()
    {
        return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
    }

    // Runs a command. Prints a core::Error that it throws and returns the exit code.
    template <typename Command>
    int runCommand(const Options& options, std::ostream& output, const Command& command)
    {
        try {
            return command();
        } catch (const core::Error& error) {
            return reportError(error, options.output, output);
        }
    }

    void requirePaths(const Options& options)
    {
        if (options.paths.empty())
            throw core::Error(core::ErrorKind::BadUsage, "at least one file or directory of declarations must be given");
    }

    // Formats an object with its write id as one line of JSON. The content is inserted unchanged, as it is JSON text.
    std::string jsonText(const store::StoredObject& stored)
    {
        const core::Object& object = stored.object;
        const std::string fields = json::serialize(json::object {
            { "kind", object.kind },
            { "name", object.name },
            { "revision", object.version.revision },
            { "version", object.version.version },
            { "deleted", object.deleted },
            { "writer", stored.writeId.writer },
            { "nonce", stored.writeId.nonce },
        });
        return fields.substr(0, fields.size() - 1) + R"(,"content":)" + (object.content.empty() ? "null" : object.content) + '}';
    }

    // Reads the objects that the options of `get` select, without deleted objects.
    std::vector<store::StoredObject> readObjects(BlockingAdminClient& client, const Options& options)
    {
        std::vector<store::StoredObject> objects;
        if (!options.name.empty()) {
            objects.push_back(client.get(options.kind, options.name));
        } else {
            for (std::string_view kind : core::Names<declare::Kind>::values) {
                if (kind == core::nameOf(declare::Kind::Vm) || (!options.kind.empty() && options.kind != kind))
                    continue;
                store::ObjectBatch batch = client.list(std::string(kind));
                std::move(batch.objects.begin(), batch.objects.end(), std::back_inserter(objects));
            }
        }
        std::erase_if(objects, [](const store::StoredObject& stored) { return stored.object.deleted; });
        if (objects.empty() && !options.name.empty())
            throw core::Error(core::ErrorKind::NotFound, options.kind + '/' + options.name + " does not exist");
        return objects;
    }

}

int check(const Options& options, std::ostream& output)
{
    return runCommand(options, output, [&] {
        requirePaths(options);
        return runPipe(CheckPipe { ReadFiles {}, CheckObjects {}, CheckConsistency {} }, options, steadyNow(), output);
    });
}

int diff(const Options& options, std::ostream& output)
{
    return runCommand(options, output, [&] {
        requirePaths(options);
        BlockingAdminClient client(options);
        DiffPipe<BlockingAdminClient> pipe { ReadFiles {}, CheckObjects {}, ReadStore<BlockingAdminClient> { client }, CompareWithStore {}, CheckConsistency {} };
        return runPipe(std::move(pipe), options, steadyNow(), output);
    });
}

int apply(const Options& options, std::ostream& output)
{
    return runCommand(options, output, [&] {
        requirePaths(options);
        BlockingAdminClient client(options);
        ApplyPipe<BlockingAdminClient> pipe { ReadFiles {}, CheckObjects {}, ReadStore<BlockingAdminClient> { client }, CompareWithStore {}, CheckConsistency {}, WriteDifferences<BlockingAdminClient> { client } };
        return runPipe(std::move(pipe), options, steadyNow(), output);
    });
}

int get(const Options& options, std::ostream& output)
{
    return runCommand(options, output, [&] {
        if (!options.kind.empty() && (!core::parseName<declare::Kind>(options.kind) || options.kind == core::nameOf(declare::Kind::Vm)))
            throw core::Error(core::ErrorKind::BadUsage, "\"" + options.kind + "\" is not a kind of object; allowed are " + declare::operatorKindNames() + ", status, lease");
        if (!options.name.empty() && !declare::isValidName(options.name))
            throw core::Error(core::ErrorKind::BadUsage, "\"" + options.name + "\" is not a valid object name; a name has 1 to 64 letters, digits, '.', '_' or '-'");
        BlockingAdminClient client(options);
        std::vector<std::string> lines;
        for (const store::StoredObject& stored : readObjects(client, options)) {
            const core::Object& object = stored.object;
            if (options.output == OutputFormat::Json)
                lines.push_back(jsonText(stored));
            else
                lines.push_back(object.kind + '/' + object.name + " revision " + std::to_string(object.version.revision) + " version " + std::to_string(object.version.version) + ' ' + object.content);
        }
        bool json = options.output == OutputFormat::Json;
        output << (json ? "[" : "");
        for (const std::string& line : lines)
            output << (json && &line != lines.data() ? ",\n" : "") << line << (json ? "" : "\n");
        output << (json ? "]\n" : "");
        return 0;
    });
}

int status(const Options& options, std::ostream& output)
{
    return runCommand(options, output, [&] {
        BlockingAdminClient client(options);
        return printStatus(fetchStatus(client), options, output);
    });
}

int wait(const Options& options, std::ostream& output)
{
    return runCommand(options, output, [&] {
        if (options.memberAddresses.empty())
            throw core::Error(core::ErrorKind::BadUsage, "the admin address of at least one member must be given");
        BlockingAdminClient client(options);
        return printWaitResult(waitForMembers(client, options), options, output);
    });
}

}
