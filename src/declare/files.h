#pragma once

#include "core/object.h"
#include "declare/schema.h"

#include <string>
#include <vector>

namespace cranberryshed::declare {

// Declarations read from files, before any check of their content.
struct FileObjects {
    std::vector<core::Object> objects; // in the order of the files and of their entries
    std::vector<Problem> problems; // files and entries that can't be used, and objects that are declared twice
};

// Reads declarations: JSON with comments, one object or an array of objects, each with "kind" and "name" beside its
// other keys. A directory stands for its files that end in ".json", in the order of their names, without
// subdirectories. Never throws for what it finds in the files.
FileObjects readFiles(const std::vector<std::string>& paths);

// The same for one text; `path` is used in problems.
void readText(std::string_view text, const std::string& path, FileObjects& result);

}
