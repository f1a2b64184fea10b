// Compiles the implementation of Asio and Beast, which are built with separate compilation.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
