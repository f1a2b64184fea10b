// Compiles the parts of Asio and Beast that are not header-only under separate compilation.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
