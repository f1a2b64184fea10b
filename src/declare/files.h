#pragma once

#include "core/object.h"
#include "declare/schema.h"

#include <string>
#include <vector>

namespace cranberryshed::declare {

// Declarations as read from files. Their content is not yet checked against the schema.
struct FileObjects {
    std::vector<core::Object> objects; // in the order of the files, then of the entries in a file
    std::vector<Problem> problems; // unreadable files, malformed entries, and objects that are declared more than once
};

// Reads declarations from files. A file is JSON with comments: one object or an array of objects, each with "kind",
// "name" and the keys of its content. A directory stands for the files in it that end in ".json", sorted by name;
// subdirectories are not read. Does not throw because of unreadable or malformed files; the result lists them.
FileObjects readFiles(const std::vector<std::string>& paths);

// Reads declarations from the text of one file and appends them to `result`. `path` names the file in problems.
void readText(std::string_view text, const std::string& path, FileObjects& result);

}
