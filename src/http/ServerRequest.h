#pragma once

#include <microhttpd.h>
#include <string>

namespace redwingseam::http {

// HTTP request whose body has been received completely.
struct ServerRequest {
    std::string method;
    std::string path;
    std::string body;
    MHD_Connection* connection = nullptr;

    // Return the value of a header or of a query argument, or an empty string if it is missing.
    std::string header(const char* name) const { return lookUp(MHD_HEADER_KIND, name); }
    std::string queryArgument(const char* name) const { return lookUp(MHD_GET_ARGUMENT_KIND, name); }

private:
    std::string lookUp(MHD_ValueKind kind, const char* name) const
    {
        const char* value = MHD_lookup_connection_value(connection, kind, name);
        return value ? value : "";
    }
};

} // namespace redwingseam::http
