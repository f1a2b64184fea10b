#include "platform/http_client_impl.h"

namespace cranberryshed::platform {

template class Client<HttpTransport>;

}
