// Builds nghttp2's field arrays.
#include "fields.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace amaranthdale::peer {

namespace {

// HTTP/2 has no place for fields that describe one connection; nghttp2 treats them as errors.
// The length is set by the transport itself, and the host travels as :authority.
constexpr std::array<std::string_view, 9> connectionFields{"connection",
                                                           "keep-alive",
                                                           "proxy-connection",
                                                           "transfer-encoding",
                                                           "content-length",
                                                           "upgrade",
                                                           "te",
                                                           "expect",
                                                           "host"};

const std::uint8_t *bytesOf(std::string_view text)
{
    return reinterpret_cast<const std::uint8_t *>(text.data());
}

bool isFieldName(std::string_view name)
{
    return nghttp2_check_header_name(bytesOf(name), name.size()) != 0
            && std::find(connectionFields.begin(), connectionFields.end(), name)
            == connectionFields.end();
}

} // namespace

bool isFieldValue(std::string_view text)
{
    return nghttp2_check_header_value(bytesOf(text), text.size()) != 0;
}

void FieldList::add(std::string_view name, std::string_view value)
{
    const std::string &keptName = this->texts.emplace_back(name);
    const std::string &keptValue = this->texts.emplace_back(value);
    // nghttp2 takes pointers to non-const bytes but only reads them.
    this->fields.push_back(nghttp2_nv{const_cast<std::uint8_t *>(bytesOf(keptName)),
                                      const_cast<std::uint8_t *>(bytesOf(keptValue)),
                                      keptName.size(), keptValue.size(), NGHTTP2_NV_FLAG_NONE});
}

void FieldList::addAll(const core::Headers &headers)
{
    for (const core::Header &header : headers) {
        std::string name = header.name;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        if (isFieldName(name) && isFieldValue(header.value))
            this->add(name, header.value);
    }
}

} // namespace amaranthdale::peer
