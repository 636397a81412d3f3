Feature: What operators, peers and settings files rely on stays as it is

  Each file beside this one holds the names, fields or bytes that others depend
  on. A change to one of them is a change of an interface: it needs a line in
  CHANGELOG.md and a way for those who use the old form.

  Scenario Outline: the <interface> are as recorded
    When the <interface> are listed
    Then they are as recorded in "<file>"

    Examples:
      | interface                   | file                  |
      | names of the package        | package-names         |
      | commands and options        | commands              |
      | gateway's metrics           | gateway-metrics       |
      | router's metrics            | router-metrics        |
      | settings' fields            | settings-fields       |
      | platform's fields           | platform-fields       |
      | peers' messages             | peer-messages         |
      | stored records              | stored-records        |
      | values in lines and metrics | line-values           |
      | store's answers             | store-answers         |

  Scenario: a gateway's decision lines and answers to operators are as recorded
    Given a gateway on a log of its own
    When each kind of decision line is written
    Then they are as recorded in "gateway-lines"

  Scenario: a router's answers to operators are as recorded
    Given a fleet of 2 routers before 3 engines and 2 plain servers
    When the router's state is asked for
    Then they are as recorded in "router-state"
