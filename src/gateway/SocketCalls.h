#pragma once

#include "base/FileDescriptor.h"
#include "gateway/ReadStatus.h"
#include "http/ListenAddress.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace redwingseam::gateway {

// Starts to connect without waiting; the socket is closed if that failed at once.
base::FileDescriptor beginConnect(const http::ListenAddress&);
// Error of a connection attempt that became writable; 0 if it stands.
int connectError(int descriptor);
// A non-blocking socket that listens; closed if the address is taken.
base::FileDescriptor listenOn(const http::ListenAddress&);
// Next connection of a listener; closed if none waits.
base::FileDescriptor acceptFrom(int listener);
// Appends what has arrived to `buffer`, up to `most` bytes in it.
ReadStatus readInto(int descriptor, boost::beast::flat_buffer& buffer, size_t most);

} // namespace redwingseam::gateway
