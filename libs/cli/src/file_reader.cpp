// Reads files given as arguments.
#include "amaranthdale/cli/command.h"

#include <fstream>

namespace amaranthdale::cli {

namespace {

constexpr std::size_t maxFileBytes = 16 * 1024 * 1024;

class DiskFileReader : public FileReader
{
public:
    core::Outcome<std::string> read(const std::string &path) override
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return core::Error{core::ErrorKind::NotFound,
                               path + " can't be opened; check path and permissions"};
        std::string text(maxFileBytes + 1, '\0');
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
        if (file.bad() || !(file.eof() || file.good()))
            return core::Error{core::ErrorKind::NotFound, path + " can't be read; name a file"};
        text.resize(static_cast<std::size_t>(file.gcount()));
        if (text.size() > maxFileBytes)
            return core::Error{core::ErrorKind::InvalidArgument,
                               path + " is larger than 16 MB; name a service document"};
        return text;
    }
};

} // namespace

std::unique_ptr<FileReader> makeFileReader()
{
    return std::make_unique<DiskFileReader>();
}

} // namespace amaranthdale::cli
