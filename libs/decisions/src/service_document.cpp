// ServiceDocument.
#include "amaranthdale/decisions/service_document.h"

#include <algorithm>

namespace amaranthdale::decisions {

bool ServiceDocument::isIdempotent(std::string_view method) const
{
    return std::find(this->idempotentMethods.begin(), this->idempotentMethods.end(), method)
            != this->idempotentMethods.end();
}

} // namespace amaranthdale::decisions
