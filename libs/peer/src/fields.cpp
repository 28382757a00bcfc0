// Builds nghttp2 header arrays.
#include "fields.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace amaranthdale::peer {

namespace {

// Connection-specific fields are forbidden in HTTP/2, and nghttp2 treats them as errors. The
// transport sets content-length itself and sends host as :authority.
constexpr std::array<std::string_view, 9> excludedFields{"connection",
                                                         "keep-alive",
                                                         "proxy-connection",
                                                         "transfer-encoding",
                                                         "content-length",
                                                         "upgrade",
                                                         "te",
                                                         "expect",
                                                         "host"};

const std::uint8_t *asBytes(std::string_view text)
{
    return reinterpret_cast<const std::uint8_t *>(text.data());
}

bool isSendableField(std::string_view name)
{
    return nghttp2_check_header_name(asBytes(name), name.size()) != 0
            && std::find(excludedFields.begin(), excludedFields.end(), name)
            == excludedFields.end();
}

} // namespace

bool isValidFieldValue(std::string_view text)
{
    return nghttp2_check_header_value(asBytes(text), text.size()) != 0;
}

void FieldList::add(std::string_view name, std::string_view value)
{
    const std::string &storedName = this->storage.emplace_back(name);
    const std::string &storedValue = this->storage.emplace_back(value);
    // nghttp2_nv has non-const pointers, but nghttp2 only reads through them.
    this->fields.push_back(nghttp2_nv{const_cast<std::uint8_t *>(asBytes(storedName)),
                                      const_cast<std::uint8_t *>(asBytes(storedValue)),
                                      storedName.size(), storedValue.size(), NGHTTP2_NV_FLAG_NONE});
}

void FieldList::addAll(const core::Headers &headers)
{
    for (const core::Header &header : headers) {
        std::string name = header.name;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        if (isSendableField(name) && isValidFieldValue(header.value))
            this->add(name, header.value);
    }
}

} // namespace amaranthdale::peer
