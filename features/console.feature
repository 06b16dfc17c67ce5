Feature: Two owners sign every change

  Scenario: A change goes from a form into force on all processes
    Given a running deployment with an operator
    When the operator raises the share of "guides" to 2 in a form
    And the draft is proposed
    And owner "linh" signs it
    Then taking it is refused because both owners must sign
    When owner "bao" signs it
    And it is taken into force
    Then every process has the new share within 12 seconds

  Scenario: Two operators race
    Given a running deployment with an operator
    When two changes are proposed and signed on the same base
    Then the first is taken and the second is a conflict that names the change

  Scenario: Nobody else gets in
    Given a running deployment with an operator
    Then a request without a token sees only the sign-in page
    And a form without its own token is refused
    And a name with markup is shown escaped

  Scenario: Wrong fields are named beside them
    Given a running deployment with an operator
    When the operator raises the share of "guides" to "much" in a form
    Then the page says "Expected a number" beside the field

  Scenario Outline: Signatures that don't count
    Given a running deployment with an operator
    When a proposal is signed with <signature>
    Then it is refused with "<reason>"

    Examples:
      | signature          | reason           |
      | another digest     | isn't for digest |
      | a stranger's key   | isn't an owner   |
      | an expired key     | expired at       |
