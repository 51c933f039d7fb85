#include "base/ReadFile.h"

#include <fstream>
#include <sstream>

namespace redwingseam::base {

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error { ResultCode::SettingsUnreadable, path + ": cannot be read" };
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace redwingseam::base
