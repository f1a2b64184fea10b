#include "declare/files.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cranberryshed::declare {

namespace json = boost::json;
namespace filesystem = std::filesystem;

namespace {

    // Limits the recursion of the JSON parser. Declarations are nested far less deeply.
    constexpr std::size_t maxNestingDepth = 16;

    std::vector<std::string> listFiles(const std::string& path, std::vector<Problem>& problems)
    {
        std::error_code error;
        if (!filesystem::is_directory(path, error))
            return { path };
        std::vector<std::string> files;
        for (filesystem::directory_iterator entry(path, error), end; !error && entry != end; entry.increment(error)) {
            if (entry->path().extension() == ".json")
                files.push_back(entry->path().string());
        }
        if (error)
            problems.push_back({ path, "can't be read: " + error.message() });
        else if (files.empty())
            problems.push_back({ path, "contains no file that ends in .json" });
        std::sort(files.begin(), files.end());
        return files;
    }

    // Adds one entry of a file to the result. The content of the object is the entry without "kind" and "name".
    void readEntry(json::value& entry, const std::string& path, FileObjects& result)
    {
        json::object* object = entry.if_object();
        const json::value* kind = object ? object->if_contains("kind") : nullptr;
        const json::value* name = object ? object->if_contains("name") : nullptr;
        if (!kind || !kind->is_string() || !name || !name->is_string()) {
            result.problems.push_back({ path, "must be an object with the strings \"kind\" and \"name\"" });
            return;
        }
        core::Object declared { .kind = std::string(kind->as_string()), .name = std::string(name->as_string()), .version = {}, .deleted = false, .content = {} };
        std::optional<Kind> parsedKind = core::parseName<Kind>(declared.kind);
        if (!parsedKind || static_cast<std::size_t>(*parsedKind) >= operatorKindCount) {
            result.problems.push_back({ path + " kind", "\"" + declared.kind + "\" is not a kind that can be declared; allowed are " + operatorKindNames() });
            return;
        }
        bool isDuplicate = std::any_of(result.objects.begin(), result.objects.end(), [&](const core::Object& other) { return other.kind == declared.kind && other.name == declared.name; });
        if (isDuplicate)
            result.problems.push_back({ declared.kind + '/' + declared.name, "is declared more than once" });
        object->stable_erase("kind");
        object->stable_erase("name");
        declared.content = json::serialize(*object);
        result.objects.push_back(std::move(declared));
    }

}

std::string operatorKindNames()
{
    std::string names;
    for (std::size_t i = 0; i < operatorKindCount; ++i)
        names += (i > 0 ? ", " : "") + std::string(core::nameOf(static_cast<Kind>(i)));
    return names;
}

void readText(std::string_view text, const std::string& path, FileObjects& result)
{
    json::parse_options options;
    options.allow_comments = true;
    options.max_depth = maxNestingDepth;
    json::parser parser({}, options);
    boost::system::error_code error;
    std::size_t parsedBytes = parser.write(text, error);
    if (error) {
        auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(std::min(parsedBytes, text.size())), '\n');
        result.problems.push_back({ path + ':' + std::to_string(line), "is not JSON: " + error.message() });
        return;
    }
    json::value value = parser.release();
    json::array* entries = value.if_array();
    if (!entries) {
        readEntry(value, path, result);
        return;
    }
    for (std::size_t i = 0; i < entries->size(); ++i)
        readEntry((*entries)[i], path + '[' + std::to_string(i) + ']', result);
}

FileObjects readFiles(const std::vector<std::string>& paths)
{
    FileObjects result;
    for (const std::string& path : paths) {
        for (const std::string& file : listFiles(path, result.problems)) {
            std::ifstream stream(file, std::ios::binary);
            std::ostringstream text;
            text << stream.rdbuf();
            if (!stream)
                result.problems.push_back({ file, "can't be read" });
            else
                readText(text.str(), file, result);
        }
    }
    return result;
}

}
